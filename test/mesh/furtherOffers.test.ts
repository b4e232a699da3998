/** Further offers of a call after a failure that is no lack of room, while the service is full. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptProgress } from '../../src/mesh/attemptProgress.js';
import type { MeshRoute, RefusalReason, RunResult } from '../../src/mesh/model.js';

function buildRefusal(reason: RefusalReason): RunResult {
  return { kind: 'notRun', reason, retryAfterMs: 100, hasArrived: false };
}

const ROUTE = { isIdempotent: true, maxAttempts: 3 } as MeshRoute;

test('only a refusal for lack of room counts as one, and only the latest', () => {
  const progress = new AttemptProgress(ROUTE);
  assert.equal(progress.isRefusedForRoom(), false);
  for (const reason of ['overloaded', 'limited', 'delayed', 'deadline'] as const) {
    progress.apply(buildRefusal(reason));
    assert.equal(progress.isRefusedForRoom(), true, reason);
  }
  for (const reason of ['leaving', 'unreachable', 'shed', 'no-instance', 'mismatch'] as const) {
    progress.apply(buildRefusal('overloaded'));
    progress.apply(buildRefusal(reason));
    assert.equal(progress.isRefusedForRoom(), false, reason);
  }
  progress.apply({ kind: 'unknown', reason: 'connection lost' });
  assert.equal(progress.isRefusedForRoom(), false);
});
