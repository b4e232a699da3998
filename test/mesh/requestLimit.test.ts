/** Decisions about the limit of an instance: token bucket, admission and what hosts expect. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AdmissionQueue, type AdmissionItem } from '../../src/mesh/admission.js';
import {
  estimateLimitWaitMs,
  projectLimitState,
  RequestLimit,
} from '../../src/mesh/requestLimit.js';

const WINDOW_MS = 4000;

function buildItem(change: Partial<AdmissionItem> = {}): AdmissionItem {
  return { priority: 1, expectedRunMs: 10, objectiveAtMs: 500, deadlineAtMs: 2000, ...change };
}

for (const requestsPerS of [0.5, 3, 9.8, 26.2]) {
  test(`at ${requestsPerS} per second no window has too many starts or far too few`, () => {
    const limit = new RequestLimit();
    limit.setRate(requestsPerS, 0);
    const starts: number[] = [];
    for (let nowMs = 0; nowMs < 30_000; nowMs += 5) {
      // Idle for a while, so that a burst follows.
      if ((nowMs > 8000 && nowMs < 14_000) || !limit.canStart(nowMs)) continue;
      limit.recordStart(nowMs);
      starts.push(nowMs);
    }
    const countFrom = (fromMs: number) =>
      starts.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
    const named = (requestsPerS * WINDOW_MS) / 1000;
    for (const fromMs of starts) {
      assert.ok(countFrom(fromMs) <= 1.5 * named + 5, `${countFrom(fromMs)} from ${fromMs} ms`);
    }
    assert.ok(countFrom(20_000) >= Math.floor(named * (2 / 3)), `${countFrom(20_000)} in a window`);
  });
}

test('a limit that is named again and again leaves no burst between', () => {
  const limit = new RequestLimit();
  let starts = 0;
  for (let nowMs = 0; nowMs < 4000; nowMs += 20) {
    limit.setRate(nowMs % 400 === 0 ? undefined : 5, nowMs);
    if (nowMs % 400 !== 0 && limit.canStart(nowMs)) {
      limit.recordStart(nowMs);
      starts += 1;
    }
  }
  assert.ok(starts <= 20, `${starts} starts`);
});

test('before the first response a few requests start, and not all that fit the slots', () => {
  const limit = new RequestLimit();
  limit.reset(0);
  const queue = new AdmissionQueue<AdmissionItem>(50, limit);
  const decisions = Array.from({ length: 50 }, () => queue.admit(buildItem(), 0).kind);
  assert.ok(decisions.filter((kind) => kind === 'start').length <= 5);
});

test('a request beyond the limit waits for its turn although slots are free', () => {
  const limit = new RequestLimit();
  limit.setRate(10, 0);
  const queue = new AdmissionQueue<AdmissionItem>(4, limit);
  assert.equal(queue.admit(buildItem(), 0).kind, 'queued');
  assert.equal(queue.dequeue(50), undefined);
  assert.equal(queue.getLimitWaitMs(50), 50);
  assert.notEqual(queue.dequeue(100), undefined);
});

test('a request that would wait too long for the limit is refused with the time to wait', () => {
  const limit = new RequestLimit();
  limit.setRate(1, 0);
  const queue = new AdmissionQueue<AdmissionItem>(4, limit);
  const decision = queue.admit(buildItem(), 0);
  assert.deepEqual(decision, { kind: 'refused', reason: 'limited', retryAfterMs: 1000 });
});

test('a limit of zero still lets a request through now and then', () => {
  const limit = new RequestLimit();
  limit.setRate(0, 0);
  assert.ok(limit.estimateWaitMs(0, 0) <= 4000);
});

test('the expected wait counts requests since the report and the share of a host', () => {
  const state = { requestsPerS: 10, availableStarts: 2 };
  assert.equal(estimateLimitWaitMs(state, 0), 0);
  assert.equal(estimateLimitWaitMs(state, 3), 200);
  const project = (availableStarts: number, elapsedMs: number) =>
    projectLimitState({ ...state, availableStarts }, elapsedMs, 0.1).availableStarts;
  assert.equal(project(-1, 1000), 0);
  assert.equal(project(2, 6000), 8);
  assert.equal(project(2, 600_000), 10);
});
