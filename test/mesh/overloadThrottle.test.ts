/** What callers get, and what it costs in messages, when a service has too little room for them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AdmissionQueue, type AdmissionItem } from '../../src/mesh/admission.js';
import { RequestLimit } from '../../src/mesh/requestLimit.js';
import type { RefusalReason, RunResult } from '../../src/mesh/model.js';
import { OverloadThrottle } from '../../src/mesh/overloadThrottle.js';
import { brandText, type RouteName, type ServiceName } from '../../src/types/ids.js';

const SERVICE = brandText<ServiceName>('guide');
const ROUTE = brandText<RouteName>('read');
const OTHER_ROUTE = brandText<RouteName>('book');
const INSTANCES = 18;
const NODES = 24;
const SLOTS = 6;
const RUN_MS = 250;
const OBJECTIVE_MS = 600;
const DEADLINE_MS = 2000;
const DURATION_MS = 20_000;
const MAX_OFFERS = 4;
const CAPACITY_PER_S = (INSTANCES * SLOTS * 1000) / RUN_MS;

/** Pseudorandom numbers from 0 to 1, the same in each run (a linear congruential generator). */
function createRandom(): () => number {
  let state = 12345;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}

/** Events of the played time, in their order. */
class Timeline {
  nowMs = 0;

  private events: { readonly atMs: number; readonly run: () => void }[] = [];

  add(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    let index = this.events.length;
    while (index > 0 && this.events[index - 1]!.atMs > atMs) index -= 1;
    this.events.splice(index, 0, { atMs, run });
  }

  play(): void {
    for (let event = this.events.shift(); event; event = this.events.shift()) {
      this.nowMs = event.atMs;
      event.run();
    }
  }
}

interface PlayedItem extends AdmissionItem {
  readonly finish: (result: RunResult) => void;
}

interface Outcome {
  readonly asked: number;
  readonly inTime: number;
  readonly served: number;
  readonly refusedOffers: number;
}

const ANSWER: RunResult = {
  kind: 'answered',
  response: { status: 200, headers: [], body: Buffer.alloc(0) },
};

function buildRefusal(reason: RefusalReason): RunResult {
  return { kind: 'notRun', reason, retryAfterMs: 0, hasArrived: false };
}

/** Plays calls at a share of the capacity; nodes choose instances without knowing their load. */
function playLoad(share: number, createThrottle: () => OverloadThrottle): Outcome {
  const timeline = new Timeline();
  const random = createRandom();
  const limit = new RequestLimit();
  const queues = Array.from(
    { length: INSTANCES },
    () => new AdmissionQueue<PlayedItem>(SLOTS, limit),
  );
  const throttles = Array.from({ length: NODES }, createThrottle);
  let asked = 0;
  let inTime = 0;
  let served = 0;
  let refusedOffers = 0;

  const start = (queue: AdmissionQueue<PlayedItem>, item: PlayedItem): void => {
    timeline.add(RUN_MS * (0.5 + random()), () => {
      queue.releaseSlot();
      item.finish(ANSWER);
      const next = queue.dequeue(timeline.nowMs);
      if (next) start(queue, next);
    });
  };

  const offer = (throttle: OverloadThrottle, startedAtMs: number, tried: Set<number>): void => {
    let index = Math.floor(random() * INSTANCES);
    while (tried.has(index)) index = (index + 1) % INSTANCES;
    tried.add(index);
    const queue = queues[index]!;
    const finish = (result: RunResult) => {
      throttle.record(SERVICE, ROUTE, result);
      if (result.kind === 'answered') {
        served += 1;
        if (timeline.nowMs - startedAtMs <= OBJECTIVE_MS) inTime += 1;
        return;
      }
      refusedOffers += 1;
      const canGoOn = tried.size < MAX_OFFERS && throttle.canOfferAgain(SERVICE, ROUTE);
      if (canGoOn) timeline.add(3, () => offer(throttle, startedAtMs, tried));
    };
    const item: PlayedItem = {
      priority: 0,
      expectedRunMs: RUN_MS,
      objectiveAtMs: startedAtMs + OBJECTIVE_MS,
      deadlineAtMs: startedAtMs + DEADLINE_MS,
      finish,
    };
    const decision = queue.admit(item, timeline.nowMs);
    if (decision.kind === 'start') start(queue, item);
    else if (decision.kind === 'refused') finish(buildRefusal(decision.reason));
  };

  const checkExpiry = (): void => {
    for (const queue of queues) {
      for (const { finish } of queue.removeExpired(timeline.nowMs)) {
        finish(buildRefusal('deadline'));
      }
    }
    if (timeline.nowMs < DURATION_MS + DEADLINE_MS) timeline.add(40, checkExpiry);
  };
  const arrive = (): void => {
    if (timeline.nowMs >= DURATION_MS) return;
    asked += 1;
    offer(throttles[asked % NODES]!, timeline.nowMs, new Set());
    timeline.add((1000 / (CAPACITY_PER_S * share)) * 2 * random(), arrive);
  };
  timeline.add(0, arrive);
  timeline.add(40, checkExpiry);
  timeline.play();
  return { asked, inTime, served, refusedOffers };
}

/** The policy before: a call is offered on whatever the others were told. */
function createUnlimitedThrottle(): OverloadThrottle {
  return Object.assign(new OverloadThrottle(), { canOfferAgain: () => true });
}

function playBoth(share: number): { before: Outcome; after: Outcome } {
  return {
    before: playLoad(share, createUnlimitedThrottle),
    after: playLoad(share, () => new OverloadThrottle()),
  };
}

for (const share of [2, 3, 4]) {
  test(`${share} times what a service can take is refused once, and no less served`, () => {
    const { before, after } = playBoth(share);
    const text = JSON.stringify({ before, after });
    assert.ok(after.served >= before.served * 0.97, text);
    assert.ok(after.inTime >= before.inTime * 0.97, text);
    assert.ok(after.refusedOffers <= before.refusedOffers * 0.45, text);
  });
}

for (const share of [0.5, 0.8, 0.95]) {
  test(`${share} of the load that a service can take is served as before`, () => {
    const { before, after } = playBoth(share);
    const text = JSON.stringify({ before, after });
    assert.ok(after.served >= before.served * 0.995, text);
    assert.ok(after.inTime >= before.inTime * 0.995, text);
  });
}

test('a route with too little room does not keep another one from being offered on', () => {
  const throttle = new OverloadThrottle();
  for (let index = 0; index < 100; index += 1) {
    throttle.record(SERVICE, OTHER_ROUTE, buildRefusal('overloaded'));
  }
  assert.equal(throttle.canOfferAgain(SERVICE, OTHER_ROUTE), false);
  assert.equal(throttle.canOfferAgain(SERVICE, ROUTE), true);
});

test('calls are offered on again soon after the service has room', () => {
  const throttle = new OverloadThrottle();
  for (let index = 0; index < 1000; index += 1) {
    throttle.record(SERVICE, ROUTE, buildRefusal('overloaded'));
  }
  let accepted = 0;
  while (!throttle.canOfferAgain(SERVICE, ROUTE)) {
    throttle.record(SERVICE, ROUTE, ANSWER);
    accepted += 1;
  }
  assert.ok(accepted <= 30, `${accepted} calls`);
});

test('refusals that do not come from a lack of room do not count', () => {
  const throttle = new OverloadThrottle();
  for (let index = 0; index < 100; index += 1) {
    throttle.record(SERVICE, ROUTE, buildRefusal('leaving'));
  }
  assert.equal(throttle.canOfferAgain(SERVICE, ROUTE), true);
});

test('a route that no longer exists is forgotten, and the others are not', () => {
  const throttle = new OverloadThrottle();
  for (const route of [ROUTE, OTHER_ROUTE]) {
    for (let index = 0; index < 100; index += 1) {
      throttle.record(SERVICE, route, buildRefusal('overloaded'));
    }
  }
  throttle.evictRoutes(new Set([ROUTE]));
  assert.equal(throttle.canOfferAgain(SERVICE, ROUTE), false);
  assert.equal(throttle.canOfferAgain(SERVICE, OTHER_ROUTE), true);
});
