/** Collects the rollouts that the metrics pages show. */
import type { MetricsPage } from './fetchPages.js';

/** Runs and failures as the coordinator compares them. */
export interface VersionRuns {
  readonly runs: number;
  readonly failures: number;
}

/** A rollout as one coordinator sees it. */
export interface RolloutRow {
  /** Page of the coordinator. */
  readonly peer: string;
  readonly service: string;
  readonly version: string;
  readonly state: string;
  readonly ageSeconds: number;
  readonly new: VersionRuns;
  readonly old: VersionRuns;
}

function listPageRows({ peer, samples }: MetricsPage): RolloutRow[] {
  const states = samples.filter(({ name }) => name === 'rollout_state');
  return states.map(({ labels: { service = '', version = '', state = '' } }) => {
    const read = (name: string, instances?: string) =>
      samples.find(
        ({ name: other, labels }) =>
          other === name &&
          labels.service === service &&
          labels.version === version &&
          labels.instances === instances,
      )?.value ?? 0;
    const readRuns = (instances: string): VersionRuns => ({
      runs: read('rollout_runs', instances),
      failures: read('rollout_failures', instances),
    });
    const ageSeconds = read('rollout_age_seconds');
    const runs = { new: readRuns('new'), old: readRuns('old') };
    return { peer, service, version, state, ageSeconds, ...runs };
  });
}

/** Returns the rollouts by service; two coordinators give two rows. */
export function listRolloutRows(pages: readonly MetricsPage[]): RolloutRow[] {
  const rows = pages.flatMap((page) => listPageRows(page));
  return rows.sort((a, b) => a.service.localeCompare(b.service) || a.peer.localeCompare(b.peer));
}
