/** Rounds of the soak run: faults in combination, then planned stops alone. */
import type { Mesh } from '../standins/launcher.js';
import { waitForInstances } from '../standins/observe.js';
import { chooseOne } from '../standins/random.js';
import { waitMs } from '../src/utils/backoff.js';
import type { CalmState } from './callers.js';
import type { SoakChecker } from './checker.js';
import type { ConfigChanger } from './configChanges.js';
import { FAULTS, createFaults, type FaultName } from './faults.js';

/** What the rounds work on. */
export interface RoundContext {
  readonly mesh: Mesh;
  readonly checker: SoakChecker;
  readonly calm: CalmState;
  readonly changer: ConfigChanger;
  readonly random: () => number;
}

/** Counts of what the rounds did. */
export type RoundCounts = Map<FaultName | 'planned-stop' | 'config-change', number>;

const FAULTS_PER_ROUND = 6;
const STOPS_PER_ROUND = 3;
/** Longest time of a fault's effect on members after its end, by suspicion and ejection. */
const SETTLE_MS = 5_000;
const KNOWN_LIMIT_MS = 30_000;

/** Creates the rounds; `runRound` runs one of each kind. */
export function createRounds(context: RoundContext) {
  const { mesh, checker, calm, changer, random } = context;
  const faults = createFaults(mesh, random);
  const counts: RoundCounts = new Map();
  let number = 0;

  const count = (name: FaultName | 'planned-stop' | 'config-change') =>
    counts.set(name, (counts.get(name) ?? 0) + 1);

  const changeConfig = async (): Promise<void> => {
    count('config-change');
    await changer.applyChange();
  };

  const runMixed = async (): Promise<void> => {
    const running: Promise<void>[] = [changeConfig()];
    for (let started = 0; started < FAULTS_PER_ROUND; started += 1) {
      const name = chooseOne(FAULTS, random) as FaultName;
      count(name);
      running.push(faults.runFault(name));
      await waitMs(random() * 1_500);
    }
    await Promise.all(running);
    await faults.heal();
  };

  const settle = async (): Promise<void> => {
    await mesh.waitReady();
    await waitMs(SETTLE_MS);
    for (const route of ['pad-availability', 'pad-booking']) {
      await waitForInstances(mesh, route, KNOWN_LIMIT_MS);
    }
  };

  const runPlannedStop = async (): Promise<void> => {
    const host = chooseOne(mesh.hosts, random);
    if (host === undefined) return;
    count('planned-stop');
    const id = random() < 0.7 ? host.nodeId : host.instanceId;
    const { code } = await mesh.terminate(id);
    checker.recordPlannedStop(id, code);
    await waitMs(random() * 500);
    await mesh.start(id);
    await mesh.waitReady([host.nodeId]);
  };

  const runCalm = async (): Promise<void> => {
    number += 1;
    calm.round = number;
    for (let stops = 0; stops < STOPS_PER_ROUND; stops += 1) {
      await Promise.all([runPlannedStop(), stops === 1 ? changeConfig() : undefined]);
    }
    calm.round = 0;
  };

  return {
    counts,
    runRound: async () => {
      await runMixed();
      await settle();
      await runCalm();
    },
    finish: async () => {
      await faults.heal();
      await settle();
    },
  };
}
