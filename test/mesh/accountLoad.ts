/** Plays the load of accounts on the admission queue of one instance, without a network. */
import { createRandom, Timeline } from '../../bench/selection/timeline.js';
import { AdmissionQueue, type AdmissionItem } from '../../src/mesh/admission.js';
import { brandText } from '../../src/types/ids.js';

/** Long enough for hundreds of requests of the smallest account. */
const DURATION_MS = 400_000;

/** Interval at which the runner removes expired requests. */
const EXPIRY_CHECK_MS = 40;

const OBJECTIVE_MS = 400;
const DEADLINE_MS = 1200;

/** Requests of one account, or of callers without one. */
export interface AccountLoad {
  /** Undefined for requests without an account. */
  readonly name?: string;
  readonly weight: number;
  readonly requestsPerS: number;
  /** Mean run times, of which each request has one at random. */
  readonly runTimesMs: readonly number[];
  readonly priority?: number;
}

/** What the callers of a load got. */
export interface LoadOutcome {
  readonly asked: number;
  readonly served: number;
  /** Run time of the served requests. */
  readonly workMs: number;
}

interface PlayedItem extends AdmissionItem {
  readonly index: number;
}

type Counts = { -readonly [Name in keyof LoadOutcome]: LoadOutcome[Name] };

/** Plays requests that arrive at random; returns the outcome of each load. */
export function playAccounts(slots: number, loads: readonly AccountLoad[]): readonly LoadOutcome[] {
  const timeline = new Timeline();
  const random = createRandom(7);
  const queue = new AdmissionQueue<PlayedItem>(slots);
  const outcomes: Counts[] = loads.map(() => ({ asked: 0, served: 0, workMs: 0 }));

  const start = (item: PlayedItem): void => {
    const runMs = item.expectedRunMs * (0.5 + random());
    timeline.add(runMs, () => {
      const outcome = outcomes[item.index]!;
      outcome.served += 1;
      outcome.workMs += runMs;
      queue.releaseSlot();
      for (;;) {
        const next = queue.dequeue(timeline.nowMs);
        if (!next) break;
        start(next);
      }
    });
  };
  const arrive = (index: number): void => {
    const { name, weight, runTimesMs, priority = 1 } = loads[index]!;
    outcomes[index]!.asked += 1;
    const item: PlayedItem = {
      priority,
      expectedRunMs: runTimesMs[Math.floor(random() * runTimesMs.length)]!,
      objectiveAtMs: timeline.nowMs + OBJECTIVE_MS,
      deadlineAtMs: timeline.nowMs + DEADLINE_MS,
      account: name === undefined ? undefined : { name: brandText(name), weight },
      index,
    };
    if (queue.admit(item, timeline.nowMs).kind === 'start') start(item);
  };
  const scheduleArrival = (index: number): void => {
    timeline.add((2000 / loads[index]!.requestsPerS) * random(), () => {
      if (timeline.nowMs >= DURATION_MS) return;
      arrive(index);
      scheduleArrival(index);
    });
  };
  const checkExpiry = (): void => {
    queue.removeExpired(timeline.nowMs);
    if (timeline.nowMs < DURATION_MS) timeline.add(EXPIRY_CHECK_MS, checkExpiry);
  };
  for (const index of loads.keys()) scheduleArrival(index);
  checkExpiry();
  timeline.play();
  return outcomes;
}

/** Returns the served share of the requests of some loads. */
export function computeServedShare(outcomes: readonly LoadOutcome[]): number {
  const asked = outcomes.reduce((sum, outcome) => sum + outcome.asked, 0);
  const served = outcomes.reduce((sum, outcome) => sum + outcome.served, 0);
  return served / asked;
}

/** Returns the share of the slots that the served requests of some loads used. */
export function computeUsedShare(outcomes: readonly LoadOutcome[], slots: number): number {
  return outcomes.reduce((sum, { workMs }) => sum + workMs, 0) / (slots * DURATION_MS);
}
