/** Fault injection of the soak. Each fault is reverted after a random time. */
import { waitMs } from '../src/utils/backoff.js';
import type { Mesh, MeshHost } from '../standins/launcher.js';
import { NO_FAULTS, type PlatformFaults } from '../standins/platform/faults.js';
import { chooseOne } from '../standins/random.js';
import { DEFAULT_BEHAVIOUR, type UpstreamBehaviour } from '../standins/upstream/behaviour.js';

/** Fault names as printed by the soak. */
export const FAULT_NAMES = [
  'kill-node',
  'kill-upstream',
  'kill-group',
  'freeze-node',
  'freeze-upstream',
  'drain-node',
  'drain-upstream',
  'platform-down',
  'platform-faults',
  'upstream-behaviour',
  'cut-link',
] as const;

export type FaultName = (typeof FAULT_NAMES)[number];

/** Range of a random duration. */
interface DurationRange {
  readonly minMs: number;
  readonly maxMs: number;
}

const MIN_KILL_DOWNTIME_MS = 100;
const MAX_KILL_DOWNTIME_MS = 3_000;
const MAX_GROUP_KILL_DOWNTIME_MS = 2_000;
const GROUP_KILL_SHARE = 0.4;
const ISOLATION_SHARE = 0.5;
const FREEZE_TIME: DurationRange = { minMs: 300, maxMs: 6_000 };
const DRAIN_DOWNTIME: DurationRange = { minMs: 0, maxMs: 1_500 };
const PLATFORM_OUTAGE: DurationRange = { minMs: 500, maxMs: 5_000 };
const PLATFORM_FAULT_TIME: DurationRange = { minMs: 500, maxMs: 4_000 };
const BEHAVIOUR_TIME: DurationRange = { minMs: 500, maxMs: 4_000 };
const PARTITION_TIME: DurationRange = { minMs: 500, maxMs: 6_000 };

const PLATFORM_FAULTS: readonly Partial<PlatformFaults>[] = [
  { delayMs: 300 },
  { loseWriteAnswers: true },
  { cutWatches: true },
  { staleWatch: true },
  { failPercent: 40 },
];

const UPSTREAM_BEHAVIOURS: readonly Partial<UpstreamBehaviour>[] = [
  { latencyMs: 500 },
  { failPercent: 30 },
  { truncatePercent: 30 },
  { resetPercent: 30 },
  { hangPercent: 10 },
  { lateMs: 800 },
  { shedAll: true },
  { shedAll: true, shedProof: false },
  { claimedBusy: 0 },
];

/** Creates the faults of a mesh; `runFault` reverts its fault before it resolves. */
export function createFaults(mesh: Mesh, random: () => number) {
  const chooseHost = () => chooseOne(mesh.hosts, random) as MeshHost;
  const waitRandom = ({ minMs, maxMs }: DurationRange) =>
    waitMs(minMs + random() * (maxMs - minMs));

  const startIfStopped = async (id: string): Promise<void> => {
    if (!mesh.getProcess(id).isRunning()) await mesh.start(id);
  };
  /** Starts a process; another fault may have started it already or may kill it meanwhile. */
  const tryRestart = (id: string): Promise<void> =>
    startIfStopped(id).catch(() => {
      // `clearFaults` retries the start and reports its failure.
    });
  const killAndRestart = async (ids: readonly string[], maxDowntimeMs: number): Promise<void> => {
    await Promise.all(ids.map((id) => mesh.kill(id)));
    await waitRandom({ minMs: MIN_KILL_DOWNTIME_MS, maxMs: maxDowntimeMs });
    await Promise.all(ids.map(tryRestart));
  };
  const freezeAndThaw = async (id: string): Promise<void> => {
    mesh.freeze(id);
    await waitRandom(FREEZE_TIME);
    mesh.thaw(id);
  };
  const drainAndRestart = async (id: string): Promise<void> => {
    // A frozen process does not handle the signal until the other fault thaws it.
    if (mesh.getProcess(id).isFrozen()) return;
    await mesh.terminate(id);
    await waitRandom(DRAIN_DOWNTIME);
    await tryRestart(id);
  };

  const runFault = async (name: FaultName): Promise<void> => {
    const host = chooseHost();
    switch (name) {
      case 'kill-node':
        return killAndRestart([host.nodeId], MAX_KILL_DOWNTIME_MS);
      case 'kill-upstream':
        return killAndRestart([host.instanceId], MAX_KILL_DOWNTIME_MS);
      case 'kill-group': {
        const group = mesh.hosts
          .filter(() => random() < GROUP_KILL_SHARE)
          .map((member) => member.nodeId);
        return killAndRestart(group, MAX_GROUP_KILL_DOWNTIME_MS);
      }
      case 'freeze-node':
        return freezeAndThaw(host.nodeId);
      case 'freeze-upstream':
        return freezeAndThaw(host.instanceId);
      case 'drain-node':
        return drainAndRestart(host.nodeId);
      case 'drain-upstream':
        return drainAndRestart(host.instanceId);
      case 'platform-down':
        await mesh.setPlatformFaults({ down: true });
        await waitRandom(PLATFORM_OUTAGE);
        return mesh.setPlatformFaults({ down: false });
      case 'platform-faults':
        await mesh.setPlatformFaults(chooseOne(PLATFORM_FAULTS, random) ?? {});
        await waitRandom(PLATFORM_FAULT_TIME);
        return mesh.setPlatformFaults(NO_FAULTS);
      case 'upstream-behaviour': {
        const change = chooseOne(UPSTREAM_BEHAVIOURS, random) ?? {};
        // The upstream may be stopped by another fault.
        const set = (value: Partial<UpstreamBehaviour>) =>
          mesh.setBehaviour(host.instanceId, value).catch(() => {});
        await set(change);
        await waitRandom(BEHAVIOUR_TIME);
        return set(DEFAULT_BEHAVIOUR);
      }
      case 'cut-link': {
        const areas = [...mesh.topology.dataCentres.map((plan) => plan.name), 'platform'];
        const cutArea = chooseOne(areas, random) ?? 'platform';
        const remainingAreas = areas.filter((area) => area !== cutArea);
        const isIsolated = random() < ISOLATION_SHARE;
        const otherAreas = isIsolated
          ? remainingAreas
          : [chooseOne(remainingAreas, random) ?? 'platform'];
        await mesh.setCuts(otherAreas.map((other) => [cutArea, other]));
        await waitRandom(PARTITION_TIME);
        return mesh.setCuts([]);
      }
      default:
        return name satisfies never;
    }
  };

  /** Reverts all faults, including those that were interrupted. */
  const clearFaults = async (): Promise<void> => {
    await mesh.setPlatformFaults(NO_FAULTS);
    for (const host of mesh.hosts) {
      for (const id of [host.nodeId, host.instanceId]) {
        if (mesh.getProcess(id).isFrozen()) mesh.thaw(id);
        await startIfStopped(id);
      }
      await mesh.setBehaviour(host.instanceId, DEFAULT_BEHAVIOUR);
    }
    await mesh.setCuts([]);
  };

  return { runFault, clearFaults };
}
