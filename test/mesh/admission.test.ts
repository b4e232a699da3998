/** Admission control of an instance that receives more requests than it can run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AdmissionQueue, updateRunClass, type AdmissionItem } from '../../src/mesh/admission.js';
import { RunTimes } from '../../src/mesh/runTimes.js';

interface Item extends AdmissionItem {
  readonly name: string;
}

function buildItem(name: string, change: Partial<Item> = {}): Item {
  return {
    name,
    priority: 1,
    expectedRunMs: 100,
    objectiveAtMs: 500,
    deadlineAtMs: 2000,
    ...change,
  };
}

test('admission control starts no more requests than the instance has slots', () => {
  const queue = new AdmissionQueue<Item>(2);
  const decisions = ['a', 'b', 'c'].map((name) => queue.admit(buildItem(name), 0).kind);
  assert.deepEqual(decisions, ['start', 'start', 'queued']);
  assert.equal(queue.dequeue(0), undefined);
  queue.releaseSlot();
  assert.equal(queue.dequeue(0)?.name, 'c');
  assert.equal(queue.dequeue(0), undefined);
});

test('queued requests start by priority and arrival, and late ones last', () => {
  const queue = new AdmissionQueue<Item>(1);
  queue.admit(buildItem('running'), 0);
  queue.admit(buildItem('late', { objectiveAtMs: 0 }), 0);
  queue.admit(buildItem('first'), 0);
  queue.admit(buildItem('second'), 0);
  queue.admit(buildItem('high', { priority: 0 }), 0);
  const order: string[] = [];
  for (let count = 0; count < 4; count += 1) {
    queue.releaseSlot();
    order.push(queue.dequeue(0)?.name ?? 'none');
  }
  assert.deepEqual(order, ['high', 'first', 'second', 'late']);
});

const REFUSALS = [
  { name: 'a request whose deadline has passed', item: { deadlineAtMs: 0 }, reason: 'deadline' },
  {
    name: 'a request whose expected wait exceeds its deadline',
    item: { deadlineAtMs: 150 },
    reason: 'overloaded',
  },
  {
    name: 'a late request whose expected wait is too long',
    item: { objectiveAtMs: 0, deadlineAtMs: 400 },
    reason: 'overloaded',
  },
] as const;
for (const { name, item, reason } of REFUSALS) {
  test(`admission control immediately rejects ${name}`, () => {
    const queue = new AdmissionQueue<Item>(1);
    queue.admit(buildItem('running'), 0);
    queue.admit(buildItem('waiting'), 0);
    const decision = queue.admit(buildItem('refused', item), 0);
    assert.equal(decision.kind, 'refused');
    assert.equal(decision.kind === 'refused' && decision.reason, reason);
    assert.equal(queue.countQueued(), 1);
  });
}

test('a rejection returns the expected wait as the retry delay', () => {
  const queue = new AdmissionQueue<Item>(1);
  queue.admit(buildItem('running'), 0);
  for (const name of ['a', 'b', 'c']) queue.admit(buildItem(name, { objectiveAtMs: 5000 }), 0);
  const decision = queue.admit(buildItem('refused', { deadlineAtMs: 300 }), 0);
  assert.equal(decision.kind === 'refused' && decision.retryAfterMs, 400);
});

test('queued requests that cannot complete before their deadline are removed', () => {
  const queue = new AdmissionQueue<Item>(1);
  queue.admit(buildItem('running'), 0);
  queue.admit(buildItem('short', { deadlineAtMs: 300 }), 0);
  queue.admit(buildItem('long'), 0);
  assert.deepEqual(queue.removeExpired(200), []);
  assert.deepEqual(
    queue.removeExpired(260).map(({ name }) => name),
    ['short'],
  );
  assert.equal(queue.countQueued(), 1);
});

/**
 * Simulates 20 s of constant load on one instance. Returns the number of requests per priority that
 * met their objective, and the longest queueing time.
 */
function simulateOverload(load: number): { readonly onTime: number[]; readonly maxWaitMs: number } {
  const runMs = 100;
  const slots = 4;
  const queue = new AdmissionQueue<Item & { readonly atMs: number }>(slots);
  const onTime = [0, 0, 0];
  let maxWaitMs = 0;
  const ends: { readonly atMs: number }[] = [];
  const start = (item: Item & { readonly atMs: number }, nowMs: number) => {
    ends.push({ atMs: nowMs + runMs });
    maxWaitMs = Math.max(maxWaitMs, nowMs - item.atMs);
    if (nowMs + runMs <= item.objectiveAtMs) onTime[item.priority]! += 1;
  };
  const intervalMs = runMs / slots / load;
  let count = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1) {
    while (ends[0] && ends[0].atMs <= nowMs) {
      ends.shift();
      queue.releaseSlot();
    }
    for (let next = queue.dequeue(nowMs); next; next = queue.dequeue(nowMs)) start(next, nowMs);
    queue.removeExpired(nowMs);
    for (; count * intervalMs <= nowMs; count += 1) {
      const base = buildItem('x', { objectiveAtMs: nowMs + 400, deadlineAtMs: nowMs + 1500 });
      const item = { ...base, priority: count % 3, atMs: nowMs };
      if (queue.admit(item, nowMs).kind === 'start') start(item, nowMs);
    }
  }
  return { onTime, maxWaitMs };
}

test('at twice its capacity an instance stays busy and serves high priorities on time', () => {
  const { onTime, maxWaitMs } = simulateOverload(2);
  const [first = 0, second = 0, third = 0] = onTime;
  // In 20 s, 4 slots complete 800 runs of 100 ms. Each of the 3 priorities sends 533 requests.
  assert.ok(first + second + third >= 0.85 * 800, `on time ${onTime.join()}`);
  assert.ok(first >= second && second >= third, `by priority ${onTime.join()}`);
  // The lower priorities have minimum shares of 0.3 and 0.1; the highest one can use the rest.
  assert.ok(first >= 0.9 * 0.6 * 800, `priority 0: ${first}`);
  // Half of all requests can run; no priority may get less than a quarter of that rate.
  assert.ok(third >= 0.25 * 0.5 * 533, `priority 2: ${third}`);
  assert.ok(maxWaitMs <= 1500);
});

/** Requests of one route at one instance. Times are in milliseconds. */
interface Workload {
  readonly priority: number;
  readonly expectedRunMs: number;
  readonly intervalMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
}

interface WorkloadItem extends Item {
  readonly workload: number;
}

/** Plays 20 s of constant load on one instance; returns the served share of each workload. */
function playWorkloads(slots: number, workloads: readonly Workload[]): readonly number[] {
  const queue = new AdmissionQueue<WorkloadItem>(slots);
  const served = workloads.map(() => 0);
  const sent = workloads.map(() => 0);
  const ends: number[] = [];
  const start = (item: WorkloadItem, nowMs: number) => {
    ends.push(nowMs + item.expectedRunMs);
    served[item.workload]! += 1;
  };
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1) {
    for (const endAtMs of ends.filter((atMs) => atMs <= nowMs)) {
      ends.splice(ends.indexOf(endAtMs), 1);
      queue.releaseSlot();
    }
    for (let next = queue.dequeue(nowMs); next; next = queue.dequeue(nowMs)) start(next, nowMs);
    queue.removeExpired(nowMs);
    for (const [workload, load] of workloads.entries()) {
      const { priority, expectedRunMs, intervalMs, objectiveMs, deadlineMs } = load;
      if (nowMs % intervalMs !== 0) continue;
      sent[workload]! += 1;
      const item = {
        ...buildItem('x', { priority, expectedRunMs }),
        objectiveAtMs: nowMs + objectiveMs,
        deadlineAtMs: nowMs + deadlineMs,
        workload,
      };
      if (queue.admit(item, nowMs).kind === 'start') start(item, nowMs);
    }
  }
  return served.map((count, workload) => count / sent[workload]!);
}

test('a higher priority that fills the instance does not starve a lower one', () => {
  const shares = playWorkloads(6, [
    { priority: 0, expectedRunMs: 84, intervalMs: 12, objectiveMs: 250, deadlineMs: 800 },
    { priority: 1, expectedRunMs: 30, intervalMs: 6, objectiveMs: 120, deadlineMs: 400 },
  ]);
  const [first = 0, second = 0] = shares;
  // Priority 0 needs 7 slots (84 ms / 12 ms) and priority 1 needs 5 (30 ms / 6 ms) of the 6.
  assert.ok(first >= second - 0.05, `served ${shares.join()}`);
  assert.ok(second >= 0.25 * first, `served ${shares.join()}`);
  assert.ok(first * 7 + second * 5 >= 0.9 * 6, `served ${shares.join()}`);
});

test('long runs that fill an instance leave room for the short calls that others wait for', () => {
  const shares = playWorkloads(12, [
    { priority: 1, expectedRunMs: 150, intervalMs: 10, objectiveMs: 400, deadlineMs: 1000 },
    { priority: 1, expectedRunMs: 22, intervalMs: 4, objectiveMs: 100, deadlineMs: 250 },
  ]);
  const [long = 0, short = 0] = shares;
  // The long runs need 15 slots (150 ms / 10 ms) and the short ones 5.5 (22 ms / 4 ms) of the 12.
  assert.ok(short >= 0.95, `served ${shares.join()}`);
  assert.ok(long >= 0.9 * (6.5 / 15), `served ${shares.join()}`);
});

test('short runs that fill an instance do not starve long ones of the same priority', () => {
  const shares = playWorkloads(12, [
    { priority: 1, expectedRunMs: 150, intervalMs: 30, objectiveMs: 400, deadlineMs: 1000 },
    { priority: 1, expectedRunMs: 22, intervalMs: 1, objectiveMs: 100, deadlineMs: 250 },
  ]);
  const [long = 0, short = 0] = shares;
  // The long runs need 5 slots and the short ones 22 of the 12; the long ones get 0.3 at least.
  assert.ok(long >= 0.9 * (3.6 / 5), `served ${shares.join()}`);
  assert.ok(short >= 0.9 * (7 / 22), `served ${shares.join()}`);
});

test('requests of a route whose mean run time varies around a bound start as they arrive', () => {
  const times = new RunTimes();
  const classes = new Set<number | undefined>();
  for (let runs = 0; runs < 200; runs += 1) {
    times.record('read', runs % 20 < 10 ? 225 : 290, false);
    classes.add(times.getRunClass('read'));
  }
  assert.equal(classes.size, 1);
  const queue = new AdmissionQueue<Item>(1);
  queue.admit(buildItem('running'), 0);
  for (const [name, expectedRunMs] of [
    ['first', 260],
    ['second', 250],
    ['third', 255],
  ] as const) {
    const runClass = times.getRunClass('read')!;
    queue.admit(buildItem(name, { expectedRunMs, runClass, objectiveAtMs: 5000 }), 0);
  }
  const order: string[] = [];
  for (let count = 0; count < 3; count += 1) {
    queue.releaseSlot();
    order.push(queue.dequeue(0)?.name ?? 'none');
  }
  assert.deepEqual(order, ['first', 'second', 'third']);
});

test('the run time class of a route follows a mean that has left it', () => {
  assert.equal(updateRunClass(undefined, 300), 8);
  assert.equal(updateRunClass(8, 200), 8);
  assert.equal(updateRunClass(8, 700), 8);
  assert.equal(updateRunClass(8, 170), 7);
  assert.equal(updateRunClass(8, 800), 9);
});
