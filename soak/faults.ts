/** Faults of the soak run, each with its end. */
import { waitMs } from '../src/utils/backoff.js';
import type { Mesh, MeshHost } from '../standins/launcher.js';
import { NO_FAULTS, type PlatformFaults } from '../standins/platform/faults.js';
import { chooseOne } from '../standins/random.js';
import { GOOD_BEHAVIOUR, type UpstreamBehaviour } from '../standins/upstream/behaviour.js';

/** Names of the faults. */
export const FAULTS = [
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

/** Name of a fault. */
export type FaultName = (typeof FAULTS)[number];

const PLATFORM_FAULTS: readonly Partial<PlatformFaults>[] = [
  { delayMs: 300 },
  { loseWriteAnswers: true },
  { cutWatches: true },
  { staleWatch: true },
  { failPercent: 40 },
];

const BEHAVIOURS: readonly Partial<UpstreamBehaviour>[] = [
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

/** Runs faults on a mesh; each run ends its fault before it resolves. */
export function createFaults(mesh: Mesh, random: () => number) {
  const chooseHost = () => chooseOne(mesh.hosts, random) as MeshHost;
  const pause = (leastMs: number, mostMs: number) =>
    waitMs(leastMs + random() * (mostMs - leastMs));

  /** Starts a process that another fault may have started already. */
  const startAgain = async (id: string): Promise<void> => {
    if (!mesh.getProcess(id).isRunning()) await mesh.start(id);
  };
  const killFor = async (ids: readonly string[], mostMs: number): Promise<void> => {
    await Promise.all(ids.map((id) => mesh.kill(id)));
    await pause(100, mostMs);
    await Promise.all(ids.map(startAgain));
  };
  const freezeFor = async (id: string): Promise<void> => {
    mesh.freeze(id);
    await pause(300, 6_000);
    mesh.thaw(id);
  };
  const drainFor = async (id: string): Promise<void> => {
    // A frozen process would not see the signal before another fault ends.
    if (mesh.getProcess(id).isFrozen()) return;
    await mesh.terminate(id);
    await pause(0, 1_500);
    await startAgain(id);
  };

  const runFault = async (name: FaultName): Promise<void> => {
    const host = chooseHost();
    switch (name) {
      case 'kill-node':
        return killFor([host.nodeId], 3_000);
      case 'kill-upstream':
        return killFor([host.instanceId], 3_000);
      case 'kill-group': {
        const group = mesh.hosts.filter(() => random() < 0.4).map((one) => one.nodeId);
        return killFor(group, 2_000);
      }
      case 'freeze-node':
        return freezeFor(host.nodeId);
      case 'freeze-upstream':
        return freezeFor(host.instanceId);
      case 'drain-node':
        return drainFor(host.nodeId);
      case 'drain-upstream':
        return drainFor(host.instanceId);
      case 'platform-down':
        await mesh.setPlatformFaults({ down: true });
        await pause(500, 5_000);
        return mesh.setPlatformFaults({ down: false });
      case 'platform-faults':
        await mesh.setPlatformFaults(chooseOne(PLATFORM_FAULTS, random) ?? {});
        await pause(500, 4_000);
        return mesh.setPlatformFaults(NO_FAULTS);
      case 'upstream-behaviour': {
        const change = chooseOne(BEHAVIOURS, random) ?? {};
        // The upstream may be away because of another fault.
        const set = (value: Partial<UpstreamBehaviour>) =>
          mesh.setBehaviour(host.instanceId, value).catch(() => {});
        await set(change);
        await pause(500, 4_000);
        return set(GOOD_BEHAVIOUR);
      }
      case 'cut-link': {
        const areas = [...mesh.topology.dataCentres.map((plan) => plan.name), 'platform'];
        const one = chooseOne(areas, random) ?? 'platform';
        const others = areas.filter((area) => area !== one);
        const isAlone = random() < 0.5;
        const cutFrom = isAlone ? others : [chooseOne(others, random) ?? 'platform'];
        await mesh.setCuts(cutFrom.map((other) => [one, other]));
        await pause(500, 6_000);
        return mesh.setCuts([]);
      }
      default:
        return name satisfies never;
    }
  };

  /** Ends every fault, whatever state an interrupted one has left. */
  const heal = async (): Promise<void> => {
    await mesh.setPlatformFaults(NO_FAULTS);
    for (const host of mesh.hosts) {
      for (const id of [host.nodeId, host.instanceId]) {
        if (mesh.getProcess(id).isFrozen()) mesh.thaw(id);
        await startAgain(id);
      }
      await mesh.setBehaviour(host.instanceId, GOOD_BEHAVIOUR);
    }
    await mesh.setCuts([]);
  };

  return { runFault, heal };
}
