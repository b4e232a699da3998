/* eslint n/no-unsupported-features/node-builtins: ["error", { "allowExperimental": true }] --
   The design page asks for the mock timers of `node:test`, which Node.js 20 calls experimental. */
import { mock } from 'node:test';

/** Replaces `setTimeout` and `Date` by a clock that only `tick` advances. */
export function startMockClock(nowMs: number) {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: nowMs });
  return {
    tick: (ms: number) => mock.timers.tick(ms),
    stop: () => mock.timers.reset(),
  };
}

/** Starts a mocked clock at a time that is the same in every test. */
export function startClock(): void {
  startMockClock(1_000_000);
}

/** Restores the real clock and timers. */
export function stopClock(): void {
  mock.timers.reset();
}

/** Lets everything run that waits for no timer. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 6; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Advances the mocked clock in small steps and lets all promises settle after each. */
export async function advance(totalMs: number, stepMs = 50): Promise<void> {
  for (let passedMs = 0; passedMs < totalMs; passedMs += stepMs) {
    mock.timers.tick(stepMs);
    await settle();
  }
}

/** Waits for work that needs the mocked clock to advance, as requests without an answer do. */
export async function waitAdvancing<Value>(running: Promise<Value>): Promise<Value> {
  let isDone = false;
  const onDone = () => {
    isDone = true;
  };
  running.then(onDone, onDone);
  while (!isDone) await advance(100, 100);
  return running;
}
