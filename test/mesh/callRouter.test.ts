/** Guards against an unexpected error whose outcome is wrong about whether the call was sent. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { CallRouter, type CallRouterOptions } from '../../src/mesh/callRouter.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import type { MeshRoute } from '../../src/mesh/model.js';
import type { PendingCall } from '../../src/mesh/pendingCall.js';
import { Cancellation } from '../../src/mesh/signal.js';

function buildCall(sends: number): PendingCall {
  const nowMs = performance.now();
  return {
    route: {} as MeshRoute,
    request: { method: 'GET', path: '/x', headers: [], body: Buffer.alloc(0) },
    requestId: 'r',
    startedAtMs: nowMs,
    deadlineAtMs: nowMs + 1000,
    objectiveAtMs: nowMs + 1000,
    cancellation: new Cancellation(),
    trace: {
      sends,
      acceptWaitMs: 0,
      instance: undefined,
      loadAgeMs: undefined,
      sendTrace: undefined,
      timing: undefined,
    },
  };
}

for (const [sends, kind] of [
  [0, 'notRun'],
  [1, 'unknown'],
] as const) {
  // Guards against a 502 for a call that no instance got, and a 503 for one that may have run.
  test(`an unexpected error after ${sends} attempts ends a call as ${kind}`, async () => {
    const router = new CallRouter({
      names: HEADER_NAMES,
      log: SILENT_LOG,
      targets: {
        choose() {
          throw new Error('unexpected');
        },
      },
    } as unknown as CallRouterOptions);
    assert.equal((await router.run(buildCall(sends))).kind, kind);
  });
}
