/** Sharing of an instance and of a link between accounts: what each gets when room is short. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FairOrder } from '../../src/mesh/accounts/fairOrder.js';
import { AdmissionQueue, type AdmissionItem } from '../../src/mesh/admission.js';
import { BodyTransfers } from '../../src/mesh/bodyTransfers.js';
import type { AccountShare } from '../../src/mesh/model.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import {
  computeServedShare,
  computeUsedShare,
  playAccounts,
  type AccountLoad,
} from './accountLoad.js';

const SLOTS = 8;
const ACCOUNTS = 20;

/** Usual demand of all accounts, of which the instance has room for 0.9. */
const USUAL_DEMAND = 1 / 0.9;

/** Each account has this part of the usual rate of the account before it: 70 to 1 over all. */
const SIZE_STEP = 0.8;

const HOT_FACTOR = 7;

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Builds loads of very uneven size that need a share of the room, with weights in proportion. */
function buildUsualLoads(
  demand: number,
  getRunTimesMs: (index: number) => readonly number[] = () => [40],
): readonly AccountLoad[] {
  const sizes = Array.from({ length: ACCOUNTS }, (_, index) => SIZE_STEP ** index);
  const sizeMs = sizes.map((size, index) => size * computeMean(getRunTimesMs(index)));
  const factor = (demand * SLOTS * 1000) / sizeMs.reduce((sum, ms) => sum + ms, 0);
  return sizes.map((size, index) => ({
    name: `account-${index}`,
    weight: size * factor,
    requestsPerS: size * factor,
    runTimesMs: getRunTimesMs(index),
  }));
}

function raiseLoads(
  loads: readonly AccountLoad[],
  isHot: (index: number) => boolean,
): readonly AccountLoad[] {
  return loads.map((load, index) => ({
    ...load,
    requestsPerS: load.requestsPerS * (isHot(index) ? HOT_FACTOR : 1),
  }));
}

/** Checks the bounds that hold while one account is hot. */
function checkShares(loads: readonly AccountLoad[], hotIndex: number): void {
  const outcomes = playAccounts(
    SLOTS,
    raiseLoads(loads, (index) => index === hotIndex),
  );
  const shares = outcomes.map((outcome) => computeServedShare([outcome]));
  const overall = computeServedShare(outcomes);
  const listed = shares.map((share) => share.toFixed(3)).join(' ');
  const seen = `overall ${overall.toFixed(3)}, ${listed}`;
  for (const share of shares) assert.ok(share >= overall / 4, seen);
  const calm = shares.filter((_, index) => index !== hotIndex);
  assert.ok(Math.max(...calm) - Math.min(...calm) <= 0.1, seen);
  assert.ok(Math.min(...calm) >= 0.75, seen);
  assert.ok(computeUsedShare(outcomes, SLOTS) >= 0.95, seen);
}

for (const hotIndex of [0, 3, 10]) {
  // Guards against a hot account that takes the room of the others, and, where its share of the
  // room alone would be less than a quarter of what all get, against its starvation.
  test(`account ${hotIndex} of 20 at 7 times its usual rate takes no room of the others`, () => {
    checkShares(buildUsualLoads(USUAL_DEMAND), hotIndex);
  });
}

// Guards against shares that hold in one run time class only: all accounts use routes of several.
test('a hot account takes no room of the others in any run time class', () => {
  checkShares(
    buildUsualLoads(USUAL_DEMAND, () => [10, 40, 120]),
    3,
  );
});

// Guards against a hot account that takes the room of a priority up to the minimum shares of the
// other classes, since the shortest class goes first.
test('a hot account whose requests are the shortest takes no room of longer ones', () => {
  const loads = buildUsualLoads(USUAL_DEMAND, (index) => (index === 3 ? [10] : [40]));
  const hot = raiseLoads(loads, (index) => index === 3);
  const outcomes = playAccounts(SLOTS, hot);
  const calm = outcomes.filter((_, index) => index !== 3).map((one) => computeServedShare([one]));
  const weights = loads.map(({ weight }) => weight);
  const part = weights[3]! / weights.reduce((sum, weight) => sum + weight, 0);
  const used = computeUsedShare([outcomes[3]!], SLOTS);
  assert.ok(used <= part + 0.02, `hot ${used} of ${part}`);
  assert.ok(Math.max(...calm) - Math.min(...calm) <= 0.1, calm.join());
});

// Guards against a share that is also an upper bound, and against a burst at the cost of others.
test('a hot account gets all the room that the others leave, and alone all of it', () => {
  const loads = raiseLoads(buildUsualLoads(0.5), (index) => index === 0);
  const outcomes = playAccounts(SLOTS, loads);
  assert.ok(computeUsedShare(outcomes, SLOTS) >= 0.97);
  for (const outcome of outcomes.slice(1)) assert.ok(computeServedShare([outcome]) >= 0.97);
  const alone = playAccounts(SLOTS, [{ ...loads[0]!, requestsPerS: 400 }]);
  assert.ok(computeUsedShare(alone, SLOTS) >= 0.97);
});

// Guards against equal shares per account, with which many small accounts outweigh a large one.
test('a large account keeps its usual part while many small ones are hot', () => {
  const loads = buildUsualLoads(USUAL_DEMAND);
  const outcomes = playAccounts(
    SLOTS,
    raiseLoads(loads, (index) => index > 0),
  );
  assert.ok(computeServedShare([outcomes[0]!]) >= 0.85, `${computeServedShare([outcomes[0]!])}`);
});

// Guards against callers without an account that take the room of accounts.
test('requests without an account get at most as much room as all accounts together', () => {
  const loads = buildUsualLoads(USUAL_DEMAND);
  const rate = loads.reduce((sum, { requestsPerS }) => sum + requestsPerS, 0);
  const anonymous = { weight: 1, requestsPerS: rate * 3, runTimesMs: [40] };
  const outcomes = playAccounts(SLOTS, [...loads, anonymous]);
  const calm = outcomes.slice(0, -1).map((outcome) => computeServedShare([outcome]));
  assert.ok(Math.max(...calm) - Math.min(...calm) <= 0.1, calm.join());
  const used = computeUsedShare(outcomes.slice(-1), SLOTS);
  assert.ok(used >= 0.45 && used <= 0.6, String(used));
});

// Guards against calls of other services, which carry no account, that wait for the share of one.
test('calls without an account are served while accounts ask for more than the room', () => {
  const loads = buildUsualLoads(1.2);
  const rate = loads.reduce((sum, { requestsPerS }) => sum + requestsPerS, 0);
  const calls = { weight: 1, requestsPerS: rate * 0.2, runTimesMs: [40] };
  const outcomes = playAccounts(SLOTS, [...loads, calls]);
  const served = computeServedShare(outcomes.slice(-1));
  assert.ok(served >= 0.95, String(served));
});

// Guards against an order of accounts that reaches over priorities: the hot account of the lower
// priority has a small tag, since its priority is seldom served.
test('priorities keep their order and minimum shares between accounts', () => {
  const high = buildUsualLoads(0.8).map((load) => ({ ...load, priority: 0 }));
  const low = buildUsualLoads(0.4).map((load, index) => ({
    ...load,
    name: `low-${index}`,
    priority: 1,
  }));
  const hotLow = raiseLoads(low, (index) => index === 0);
  const outcomes = playAccounts(SLOTS, [...high, ...hotLow]);
  const calmLow = outcomes.slice(ACCOUNTS + 1);
  assert.ok(computeServedShare(outcomes.slice(0, ACCOUNTS)) >= 0.8);
  const calmLowShare = computeServedShare(calmLow);
  const hotShare = computeServedShare([outcomes[ACCOUNTS]!]);
  assert.ok(calmLowShare >= 3 * hotShare, `calm ${calmLowShare}, hot ${hotShare}`);
});

interface Item extends AdmissionItem {
  readonly name: string;
}

function buildShare(name: string, weight = 1): AccountShare {
  return { name: brandText(name), weight };
}

function buildItem(name: string, account: AccountShare | undefined, change = {}): Item {
  return {
    name,
    priority: 1,
    expectedRunMs: 100,
    objectiveAtMs: 5000,
    deadlineAtMs: 20_000,
    account,
    ...change,
  };
}

function drainNames(queue: AdmissionQueue<Item>, count: number): readonly string[] {
  const names: string[] = [];
  for (let index = 0; index < count; index += 1) {
    queue.releaseSlot();
    names.push(queue.dequeue(0)?.name ?? 'none');
  }
  return names;
}

// Guards against a tag that goes before the priority, and against one account served in a row.
test('accounts take turns within a priority, and a higher priority goes first', () => {
  const queue = new AdmissionQueue<Item>(1);
  queue.admit(buildItem('running', buildShare('hot')), 0);
  for (let index = 0; index < 12; index += 1) {
    queue.admit(buildItem('hot', buildShare('hot')), 0);
  }
  for (let index = 0; index < 3; index += 1) {
    queue.admit(buildItem('calm', buildShare('calm')), 0);
  }
  const high = buildItem('high', buildShare('hot'), { priority: 0 });
  queue.admit(high, 0);
  const names = drainNames(queue, 8);
  assert.equal(names[0], 'high');
  assert.equal(names.filter((name) => name === 'calm').length, 3);
});

// Guards against an estimate in the order of arrival, which refuses the request of a calm account
// for a wait that it would not have.
test('a request of a calm account is not refused for the wait of a hot one', () => {
  const queue = new AdmissionQueue<Item>(1);
  queue.admit(buildItem('running', buildShare('hot')), 0);
  for (let index = 0; index < 15; index += 1) {
    queue.admit(buildItem('hot', buildShare('hot')), 0);
  }
  const limits = { objectiveAtMs: 600, deadlineAtMs: 1000 };
  const hot = queue.assess(buildItem('late', buildShare('hot'), limits), 0);
  assert.equal(hot.kind === 'refused' && hot.reason, 'overloaded');
  assert.ok(hot.kind === 'refused' && hot.retryAfterMs >= 1500);
  assert.equal(queue.admit(buildItem('calm', buildShare('calm'), limits), 0).kind, 'queued');
  assert.deepEqual(drainNames(queue, 1), ['calm']);
});

// Guards against a full queue that refuses whoever comes next.
test('a full queue refuses the newest request of the account that fills it', () => {
  const queue = new AdmissionQueue<Item>(1);
  queue.admit(buildItem('running', buildShare('hot')), 0);
  for (let index = 0; index < 20; index += 1) {
    queue.admit(buildItem(`hot-${index}`, buildShare('hot')), 0);
  }
  const hot = queue.admit(buildItem('hot-20', buildShare('hot')), 0);
  assert.equal(hot.kind === 'refused' && hot.reason, 'overloaded');
  const calm = queue.admit(buildItem('calm', buildShare('calm')), 0);
  assert.ok(calm.kind === 'queued' && calm.displaced);
  assert.equal(calm.displaced.item.name, 'hot-19');
  assert.equal(calm.displaced.reason, 'overloaded');
  assert.equal(calm.displaced.retryAfterMs, 2000);
  assert.equal(queue.countQueued(), 20);
  const low = queue.admit(buildItem('low', buildShare('calm'), { priority: 2 }), 0);
  assert.equal(low.kind, 'refused');
});

// Guards against a queue whose order stays another one after its accounts have left.
test('requests without an account have their order of before once no account is queued', () => {
  const plain = new AdmissionQueue<Item>(1);
  const used = new AdmissionQueue<Item>(1);
  used.admit(buildItem('first', buildShare('calm')), 0);
  plain.admit(buildItem('first', undefined), 0);
  // The late requests of the group delay its minimum share, so that the last one is refused.
  const requests = [
    ...Array.from({ length: 10 }, () => buildItem('high', undefined, { priority: 0 })),
    ...Array.from({ length: 5 }, () => buildItem('late', undefined, { objectiveAtMs: 0 })),
    buildItem('refused', undefined, { deadlineAtMs: 900 }),
  ];
  for (const request of requests) {
    assert.deepEqual(used.admit(request, 0), plain.admit(request, 0), request.name);
  }
  assert.equal(plain.countQueued(), 15);
  assert.deepEqual(drainNames(used, 15), drainNames(plain, 15));
});

// Guards against bodies in the order of arrival, which keep the link for the hot account.
test('the body of a calm account does not wait for all bodies of a hot one', async () => {
  const transfers = new BodyTransfers(10);
  const nowMs = performance.now();
  const order: string[] = [];
  const turns: Promise<void>[] = [];
  const announce = (name: string): void => {
    const body = {
      bytes: 125_000,
      priority: 1,
      objectiveAtMs: nowMs + 60_000,
      deadlineAtMs: nowMs + 120_000,
      account: buildShare(name),
    };
    const turn = transfers.announce(body, new Cancellation()).then((granted) => {
      order.push(granted.kind === 'granted' ? name : 'refused');
      if (granted.kind === 'granted') setImmediate(granted.end);
    });
    turns.push(turn);
  };
  for (let index = 0; index < 21; index += 1) announce('hot');
  announce('calm');
  await Promise.all(turns);
  // One body has the link and 20 fill the queue; the newest of them leaves its place.
  assert.deepEqual(order.slice(0, 3).sort(), ['calm', 'hot', 'refused']);
  assert.equal(order.filter((name) => name === 'refused').length, 1);
});

// Guards against memory that grows with every account that has ever sent a request.
test('the order forgets accounts: after 10,000 names it knows 1,024 at most', () => {
  const order = new FairOrder();
  let most = 0;
  for (let index = 0; index < 10_000; index += 1) {
    const request = { expectedRunMs: 100, account: buildShare(`account-${index}`) };
    order.recordArrival(request);
    if (index % 3 > 0) order.recordStart(request, []);
    most = Math.max(most, order.countFlows());
  }
  assert.ok(most <= 1024, `${most}`);
  // A flow that has just run is known: its lead is not lost with the names that came before.
  const last = { expectedRunMs: 100, account: buildShare('account-9998') };
  assert.ok(order.getStartTag(last) > order.getStartTag({ ...last, account: buildShare('new') }));
});
