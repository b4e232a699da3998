/** Ages of requests. Load: callers that come back to a service that is full. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AdmissionQueue, type AdmissionItem } from '../../src/mesh/admission.js';
import { RequestAges } from '../../src/mesh/requestAges.js';
import { createRandom } from '../../standins/random.js';

test('a request with less than the usual time left has come back', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 10; count += 1) assert.equal(ages.record('search', 2500), 0);
  assert.equal(ages.record('search', 1730), 770);
  assert.equal(ages.record('search', 2600), 0);
  assert.equal(ages.record('book', 1730), 0);
});

test('two kinds of callers on one route are told apart', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 20; count += 1) {
    assert.equal(ages.record('search', 4000), 0);
    if (count > 5) assert.equal(ages.record('search', 1000), 0);
    else ages.record('search', 1000);
  }
  assert.equal(ages.record('search', 900), 100);
  assert.equal(ages.record('search', 3100), 900);
});

test('what is left to many that were told the same retry time is no usual time', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 100; count += 1) {
    assert.equal(ages.record('search', 2500), 0);
    if (count > 5 && count % 4 === 0) assert.equal(ages.record('search', 2200), 300);
  }
});

test('times that are all different say nothing', () => {
  const ages = new RequestAges();
  for (let ms = 300; ms < 400; ms += 1) assert.equal(ages.record('check', ms), 0);
});

test('what is known is bounded and follows a change of the callers', () => {
  const ages = new RequestAges();
  for (let count = 0; count < 500; count += 1) ages.record('search', 2500);
  for (let count = 0; count < 3000; count += 1) ages.record('search', 1500);
  assert.equal(ages.record('search', 1500), 0);
  assert.equal(ages.record('search', 1400), 100);
  ages.evictRoutes(new Set(['book']));
  assert.equal(ages.record('search', 1400), 0);
});

interface Try extends AdmissionItem {
  readonly firstAtMs: number;
  readonly tries: number;
}

const OBJECTIVE_MS = 400;
const DEADLINE_MS = 2500;
const WORK_MS = 120;
const SLOTS = 6;
const TRIES = 3;
const DAY_MS = 30_000;

/** Returns a run time that is often short and now and then long, with the mean `WORK_MS`. */
function drawWorkMs(random: () => number): number {
  return WORK_MS * (0.5 - 0.5 * Math.log(1 - random()));
}

/**
 * Plays callers that come back as told, twice at the most, to one instance. Returns the shares that
 * ended in time and late, counted from their first try.
 */
function playReturns(load: number, knowsAge: boolean) {
  const random = createRandom(7);
  const ages = new RequestAges();
  const queue = new AdmissionQueue<Try>(SLOTS);
  const running: { readonly endMs: number; readonly firstAtMs: number }[] = [];
  let returning: { readonly atMs: number; readonly of: Try }[] = [];
  const gapMs = WORK_MS / SLOTS / load;
  let nextMs = 0;
  let asked = 0;
  let inTime = 0;
  let late = 0;
  const start = ({ firstAtMs }: Try, nowMs: number) => {
    const endMs = nowMs + drawWorkMs(random);
    running.push({ endMs, firstAtMs });
    if (endMs <= firstAtMs + OBJECTIVE_MS) inTime += 1;
    else late += 1;
  };
  const refuse = (of: Try, retryAfterMs: number, nowMs: number) => {
    if (of.tries === TRIES) return;
    const thirdMs = (of.deadlineAtMs - nowMs) / 3;
    returning.push({ atMs: nowMs + Math.min(Math.max(50, retryAfterMs), thirdMs), of });
  };
  const send = (firstAtMs: number, tries: number, nowMs: number) => {
    const leftMs = firstAtMs + DEADLINE_MS - nowMs;
    const ageMs = ages.record('search', leftMs);
    const objectiveAtMs = nowMs + OBJECTIVE_MS - (knowsAge ? ageMs : 0);
    const deadlineAtMs = nowMs + leftMs;
    const item = {
      priority: 1,
      expectedRunMs: WORK_MS,
      objectiveAtMs,
      deadlineAtMs,
      firstAtMs,
      tries,
    };
    const offer = queue.admit(item, nowMs);
    if (offer.kind === 'start') start(item, nowMs);
    if (offer.kind === 'refused') refuse(item, offer.retryAfterMs, nowMs);
  };
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += 1) {
    for (const run of running.filter(({ endMs }) => endMs <= nowMs)) {
      running.splice(running.indexOf(run), 1);
      queue.releaseSlot();
    }
    for (let next = queue.dequeue(nowMs); next; next = queue.dequeue(nowMs)) start(next, nowMs);
    for (const expired of queue.removeExpired(nowMs)) refuse(expired, 0, nowMs);
    const due = returning.filter(({ atMs }) => atMs <= nowMs);
    returning = returning.filter(({ atMs }) => atMs > nowMs);
    for (const { of } of due) send(of.firstAtMs, of.tries + 1, nowMs);
    for (; nextMs <= nowMs; nextMs -= Math.log(1 - random()) * gapMs) {
      asked += 1;
      send(nowMs, 1, nowMs);
    }
  }
  return { inTime: inTime / asked, late: late / asked };
}

for (const load of [1.1, 1.5, 2.2]) {
  test(`at ${load} times the load returning callers do not hold up those in time`, () => {
    const before = playReturns(load, false);
    const after = playReturns(load, true);
    const seen = JSON.stringify({ before, after });
    // As many are served as before, and most of them in time.
    assert.ok(after.inTime + after.late >= 0.95 * (before.inTime + before.late), seen);
    assert.ok(after.inTime >= 1.2 * before.inTime, seen);
    assert.ok(after.inTime >= 0.75 / load, seen);
  });
}
