/* eslint n/no-unsupported-features/node-builtins: ["error", { "allowExperimental": true }] --
   The tests use the mock timers of `node:test`, which are experimental in Node.js 20. */
import { mock } from 'node:test';

/** Start of the virtual clock, in milliseconds since the epoch. */
const CLOCK_START_MS = 1_000_000;

/** Event loop turns within which promise chains and I/O callbacks without a timer complete. */
const SETTLE_TURNS = 6;

const DEFAULT_STEP_MS = 50;
const WAIT_STEP_MS = 100;

/** Replaces `setTimeout` and `Date` by a virtual clock that only `tick` advances. */
export function startMockClock(nowMs: number) {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: nowMs });
  return {
    tick: (ms: number) => mock.timers.tick(ms),
    stop: () => mock.timers.reset(),
  };
}

/** Starts the virtual clock at the same time in every test. */
export function startClock(): void {
  startMockClock(CLOCK_START_MS);
}

/** Restores the real clock and timers. */
export function stopClock(): void {
  mock.timers.reset();
}

/** Runs pending promise callbacks and other work that does not depend on a timer. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Advances the virtual clock in small steps and lets promises settle after each step. */
export async function advance(totalMs: number, stepMs = DEFAULT_STEP_MS): Promise<void> {
  for (let passedMs = 0; passedMs < totalMs; passedMs += stepMs) {
    mock.timers.tick(stepMs);
    await settle();
  }
}

/** Advances the virtual clock until a promise settles, such as that of a request that times out. */
export async function advanceUntilSettled<Value>(running: Promise<Value>): Promise<Value> {
  let isDone = false;
  const onDone = () => {
    isDone = true;
  };
  running.then(onDone, onDone);
  while (!isDone) await advance(WAIT_STEP_MS, WAIT_STEP_MS);
  return running;
}
