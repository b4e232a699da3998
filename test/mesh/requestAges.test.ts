/** Detection of client retries, also under overload, when callers retry after a rejection. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AdmissionQueue, type AdmissionItem } from '../../src/mesh/admission.js';
import { RequestAges } from '../../src/mesh/requestAges.js';
import { createRandom } from '../../standins/random.js';

test('a request with less time than the initial timeout of its route is a retry', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 10; count += 1) assert.equal(ages.record('search', 2500), 0);
  assert.equal(ages.record('search', 1730), 770);
  assert.equal(ages.record('search', 2600), 0);
  assert.equal(ages.record('book', 1730), 0);
});

test('callers with different initial timeouts on one route are distinguished', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 20; count += 1) {
    assert.equal(ages.record('search', 4000), 0);
    if (count > 5) assert.equal(ages.record('search', 1000), 0);
    else ages.record('search', 1000);
  }
  assert.equal(ages.record('search', 900), 100);
  assert.equal(ages.record('search', 3100), 900);
});

test('a frequent remaining time after the same retry delay is not an initial timeout', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 100; count += 1) {
    assert.equal(ages.record('search', 2500), 0);
    if (count > 5 && count % 4 === 0) assert.equal(ages.record('search', 2200), 300);
  }
});

test('timeouts that are all different give no estimate', () => {
  const ages = new RequestAges();
  for (let ms = 300; ms < 400; ms += 1) assert.equal(ages.record('check', ms), 0);
});

test('the estimate follows a change of the timeouts, and removed routes are forgotten', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 500; count += 1) ages.record('search', 2500);
  for (let count = 0; count < 3000; count += 1) ages.record('search', 1500);
  assert.equal(ages.record('search', 1500), 0);
  assert.equal(ages.record('search', 1400), 100);
  ages.evictRoutes(new Set(['book']));
  assert.equal(ages.record('search', 1400), 0);
});

interface Attempt extends AdmissionItem {
  readonly firstAtMs: number;
  /** Number of this attempt, from 1. */
  readonly attempt: number;
}

const OBJECTIVE_MS = 400;
const DEADLINE_MS = 2500;
const MEAN_RUN_MS = 120;
const SLOTS = 6;
const MAX_ATTEMPTS = 3;
const DURATION_MS = 30_000;

/** Returns a random run time, half constant and half exponential, with the mean `MEAN_RUN_MS`. */
function drawRunMs(random: () => number): number {
  return MEAN_RUN_MS * (0.5 - 0.5 * Math.log(1 - random()));
}

/**
 * Simulates one instance whose callers retry after the returned delay, with up to 2 retries each.
 * Returns the shares of requests that met their latency objective and that completed late, counted
 * from the first attempt.
 */
function simulateRetries(load: number, isAgeUsed: boolean) {
  const random = createRandom(7);
  const ages = new RequestAges();
  const queue = new AdmissionQueue<Attempt>(SLOTS);
  const running: { readonly endMs: number; readonly firstAtMs: number }[] = [];
  let retries: { readonly atMs: number; readonly previous: Attempt }[] = [];
  const meanIntervalMs = MEAN_RUN_MS / SLOTS / load;
  let nextMs = 0;
  let sent = 0;
  let onTime = 0;
  let late = 0;
  const start = ({ firstAtMs }: Attempt, nowMs: number) => {
    const endMs = nowMs + drawRunMs(random);
    running.push({ endMs, firstAtMs });
    if (endMs <= firstAtMs + OBJECTIVE_MS) onTime += 1;
    else late += 1;
  };
  const scheduleRetry = (previous: Attempt, retryAfterMs: number, nowMs: number) => {
    if (previous.attempt === MAX_ATTEMPTS) return;
    const maxDelayMs = (previous.deadlineAtMs - nowMs) / 3;
    retries.push({ atMs: nowMs + Math.min(Math.max(50, retryAfterMs), maxDelayMs), previous });
  };
  const send = (firstAtMs: number, attempt: number, nowMs: number) => {
    const remainingMs = firstAtMs + DEADLINE_MS - nowMs;
    const ageMs = ages.record('search', remainingMs);
    const objectiveAtMs = nowMs + OBJECTIVE_MS - (isAgeUsed ? ageMs : 0);
    const deadlineAtMs = nowMs + remainingMs;
    const item = {
      priority: 1,
      expectedRunMs: MEAN_RUN_MS,
      objectiveAtMs,
      deadlineAtMs,
      firstAtMs,
      attempt,
    };
    const decision = queue.admit(item, nowMs);
    if (decision.kind === 'start') start(item, nowMs);
    if (decision.kind === 'refused') scheduleRetry(item, decision.retryAfterMs, nowMs);
  };
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    for (const run of running.filter(({ endMs }) => endMs <= nowMs)) {
      running.splice(running.indexOf(run), 1);
      queue.releaseSlot();
    }
    for (let next = queue.dequeue(nowMs); next; next = queue.dequeue(nowMs)) start(next, nowMs);
    for (const expired of queue.removeExpired(nowMs)) scheduleRetry(expired, 0, nowMs);
    const due = retries.filter(({ atMs }) => atMs <= nowMs);
    retries = retries.filter(({ atMs }) => atMs > nowMs);
    for (const { previous } of due) send(previous.firstAtMs, previous.attempt + 1, nowMs);
    for (; nextMs <= nowMs; nextMs -= Math.log(1 - random()) * meanIntervalMs) {
      sent += 1;
      send(nowMs, 1, nowMs);
    }
  }
  return { onTime: onTime / sent, late: late / sent };
}

for (const load of [1.1, 1.5, 2.2]) {
  test(`at ${load} times the capacity retries do not delay requests that can be on time`, () => {
    const withoutAges = simulateRetries(load, false);
    const withAges = simulateRetries(load, true);
    const details = JSON.stringify({ withoutAges, withAges });
    // At least 95% as many requests complete as without the ages, and more of them on time.
    assert.ok(
      withAges.onTime + withAges.late >= 0.95 * (withoutAges.onTime + withoutAges.late),
      details,
    );
    assert.ok(withAges.onTime >= 1.2 * withoutAges.onTime, details);
    assert.ok(withAges.onTime >= 0.75 / load, details);
  });
}
