/** Metrics of the rollouts that this node decides on as coordinator. */
import type { MetricSample } from '../metricSamples.js';
import type { RolloutCoordinator } from './rolloutCoordinator.js';

/** Lists state and age of each rollout, and the runs and failures of its new and old instances. */
export function listRolloutSamples(
  coordinator: Pick<RolloutCoordinator, 'listProgress'>,
): MetricSample[] {
  const samples: MetricSample[] = [];
  for (const { service, version, state, ageMs, target, reference } of coordinator.listProgress()) {
    const labels = { service, version };
    samples.push(
      { name: 'rollout_state', labels: { ...labels, state }, value: 1 },
      { name: 'rollout_age_seconds', labels, value: ageMs / 1000 },
    );
    for (const [instances, counts] of [
      ['new', target],
      ['old', reference],
    ] as const) {
      const ofInstances = { ...labels, instances };
      samples.push(
        { name: 'rollout_runs', labels: ofInstances, value: Math.round(counts.runs) },
        { name: 'rollout_failures', labels: ofInstances, value: Math.round(counts.failures) },
      );
    }
  }
  return samples;
}
