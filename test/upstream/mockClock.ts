/* eslint-disable n/no-unsupported-features/node-builtins --
   The house style asks for the mock timers of node:test, which Node.js 20 marks as experimental. */
import { mock } from 'node:test';

/** Replaces `setTimeout` and `Date` by a clock that only `tick` advances. */
export function startMockClock(nowMs: number) {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: nowMs });
  return {
    tick: (ms: number) => mock.timers.tick(ms),
    stop: () => mock.timers.reset(),
  };
}
