/** Rounds of the soak: overlapping faults, followed by planned stops as the only faults. */
import type { Mesh } from '../standins/launcher.js';
import { waitForInstances } from '../standins/observe.js';
import { chooseOne } from '../standins/random.js';
import { waitMs } from '../src/utils/backoff.js';
import type { PlannedStopPhase } from './callers.js';
import type { SoakChecker } from './checker.js';
import type { ConfigChanger } from './configChanges.js';
import { FAULT_NAMES, createFaults, type FaultName } from './faults.js';

/** Dependencies of the rounds. */
export interface RoundContext {
  readonly mesh: Mesh;
  readonly checker: SoakChecker;
  readonly plannedStopPhase: PlannedStopPhase;
  readonly configChanger: ConfigChanger;
  readonly random: () => number;
}

/** Number of faults, planned stops and configuration changes by name. */
export type RoundCounts = Map<FaultName | 'planned-stop' | 'config-change', number>;

const FAULTS_PER_ROUND = 6;
const STOPS_PER_ROUND = 3;
/** Maximum time for which suspicion and ejection affect members after a fault has ended. */
const RECOVERY_MS = 5_000;
const DISCOVERY_LIMIT_MS = 30_000;
const MAX_FAULT_START_INTERVAL_MS = 1_500;
const MAX_STOP_DOWNTIME_MS = 500;
/** Share of planned stops that stop a node; the others stop an upstream. */
const NODE_STOP_SHARE = 0.7;

/** Creates the rounds; `runRound` runs random faults, then planned stops. */
export function createRounds(context: RoundContext) {
  const { mesh, checker, plannedStopPhase, configChanger, random } = context;
  const faults = createFaults(mesh, random);
  const counts: RoundCounts = new Map();
  let roundNumber = 0;

  const count = (name: FaultName | 'planned-stop' | 'config-change') =>
    counts.set(name, (counts.get(name) ?? 0) + 1);

  const changeConfig = async (): Promise<void> => {
    count('config-change');
    await configChanger.applyChange();
  };

  const runRandomFaults = async (): Promise<void> => {
    const failures: unknown[] = [];
    const collectFailure = (fault: Promise<void>) =>
      fault.catch((thrown: unknown) => {
        failures.push(thrown);
      });
    const running = [collectFailure(changeConfig())];
    for (let started = 0; started < FAULTS_PER_ROUND; started += 1) {
      const name = chooseOne(FAULT_NAMES, random) as FaultName;
      count(name);
      running.push(collectFailure(faults.runFault(name)));
      await waitMs(random() * MAX_FAULT_START_INTERVAL_MS);
    }
    await Promise.all(running);
    if (failures.length > 0) throw failures[0];
    await faults.clearFaults();
  };

  const waitForRecovery = async (): Promise<void> => {
    await mesh.waitReady();
    await waitMs(RECOVERY_MS);
    for (const route of ['pad-availability', 'pad-booking']) {
      await waitForInstances(mesh, route, DISCOVERY_LIMIT_MS);
    }
  };

  const runPlannedStop = async (): Promise<void> => {
    const host = chooseOne(mesh.hosts, random);
    if (host === undefined) return;
    count('planned-stop');
    const id = random() < NODE_STOP_SHARE ? host.nodeId : host.instanceId;
    plannedStopPhase.lastStoppedId = id;
    const { code } = await mesh.terminate(id);
    checker.recordPlannedStop(id, code);
    await waitMs(random() * MAX_STOP_DOWNTIME_MS);
    await mesh.start(id);
    await mesh.waitReady([host.nodeId]);
  };

  const runPlannedStops = async (): Promise<void> => {
    roundNumber += 1;
    plannedStopPhase.round = roundNumber;
    for (let stopIndex = 0; stopIndex < STOPS_PER_ROUND; stopIndex += 1) {
      await Promise.all([runPlannedStop(), stopIndex === 1 ? changeConfig() : undefined]);
    }
    plannedStopPhase.round = 0;
  };

  return {
    counts,
    runRound: async () => {
      await runRandomFaults();
      await waitForRecovery();
      await runPlannedStops();
    },
    finish: async () => {
      await faults.clearFaults();
      await waitForRecovery();
    },
  };
}
