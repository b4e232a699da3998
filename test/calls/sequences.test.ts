/* eslint n/no-unsupported-features/node-builtins: ["error", { "allowExperimental": true }] --
   The design page asks for the mock timers of `node:test`, which Node.js 20 calls experimental. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import fc from 'fast-check';
import { settle } from '../../standins/memory/clock.js';
import { createFleet, type ExchangeEnding, type Fleet } from './callFleet.js';

const RUNS = { seed: 20_261_204, numRuns: 300 };

type Step =
  | {
      readonly kind: 'announce';
      readonly node: number;
      readonly instance: 'a' | 'b';
      readonly state: 'starting' | 'ready';
    }
  | {
      readonly kind: 'leave' | 'stopAnnouncing';
      readonly node: number;
      readonly instance: 'a' | 'b';
    }
  | { readonly kind: 'publishRecord' | 'markDead' | 'toggleLink' | 'stop'; readonly node: number }
  | {
      readonly kind: 'send';
      readonly count: number;
      readonly repeatability: 'once' | 'repeatable';
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'finish';
      readonly at: number;
      readonly count: number;
      readonly how: ExchangeEnding;
    }
  | { readonly kind: 'cancel'; readonly at: number }
  | { readonly kind: 'wait'; readonly ms: number };

const node = fc.integer({ min: 0, max: 2 });
const instance = fc.constantFrom('a' as const, 'b' as const);
const how = fc.constantFrom<ExchangeEnding>('answer', 'error', 'shed', 'busy', 'fail', 'truncate');
const onNode = <Kind extends string>(...kinds: Kind[]) =>
  fc.record({ kind: fc.constantFrom(...kinds), node });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('announce' as const),
      node,
      instance,
      state: fc.constantFrom('starting' as const, 'ready' as const, 'ready' as const),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constantFrom('leave', 'stopAnnouncing'), node, instance }),
  },
  { weight: 2, arbitrary: onNode('markDead', 'toggleLink') },
  { weight: 4, arbitrary: onNode('publishRecord') },
  { weight: 1, arbitrary: onNode('stop') },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('send' as const),
      count: fc.integer({ min: 1, max: 6 }),
      repeatability: fc.constantFrom('once' as const, 'repeatable' as const),
      timeoutMs: fc.constantFrom(200, 2000, 20_000),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('finish' as const),
      at: fc.nat(20),
      count: fc.integer({ min: 1, max: 6 }),
      how,
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cancel' as const), at: fc.nat(20) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(250, 1000, 4000, 12_000),
    }),
  },
);

async function runStep(fleet: Fleet, next: Step): Promise<void> {
  const at = 'node' in next ? next.node : 0;
  const target = fleet.nodes[at];
  assert.ok(target);
  const instanceId = `${target.nodeId}-${'instance' in next ? next.instance : 'a'}`;
  switch (next.kind) {
    case 'announce':
      fleet.announce(target, instanceId, next.state);
      break;
    case 'leave':
      if (target.announcing.has(instanceId)) fleet.announce(target, instanceId, 'leaving');
      break;
    case 'stopAnnouncing':
      target.announcing.delete(instanceId);
      break;
    case 'publishRecord':
      fleet.publishRecord(target);
      break;
    case 'markDead':
      if (at > 0) fleet.publishRecord(target, 'dead');
      break;
    case 'toggleLink':
      target.state.isLinkDown = !target.state.isLinkDown;
      break;
    case 'stop':
      target.state.isStopping = true;
      void target.dispatcher.drain(5000);
      break;
    case 'send':
      for (let count = 0; count < next.count; count += 1) {
        fleet.send(next.repeatability, next.timeoutMs);
      }
      break;
    case 'finish': {
      const open = fleet.listOpen();
      const from = open.length > 0 ? next.at % open.length : 0;
      for (const exchange of open.slice(from, from + next.count)) fleet.finish(exchange, next.how);
      break;
    }
    case 'cancel': {
      const pending = fleet.listPending();
      pending[next.at % Math.max(1, pending.length)]?.abort.abort();
      break;
    }
    case 'wait':
      await fleet.advance(next.ms);
      break;
    default:
      next satisfies never;
  }
  await settle();
}

// Guards against calls sent to a leaving instance, slots that leak or become negative, ejections
// beyond the limit, retries beyond the budget, and calls with no outcome, two outcomes or a wrong
// one, in any order of faults.
test('the call path keeps its invariants in any order of faults', async (t) => {
  t.diagnostic(`seed ${RUNS.seed}`);
  let nowMs = 0;
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_800_000_000_000 });
  mock.method(performance, 'now', () => nowMs);
  t.after(() => {
    mock.timers.reset();
    mock.restoreAll();
  });
  const advanceClock = (ms: number) => {
    nowMs += ms;
    mock.timers.tick(ms);
  };
  const seen = { answered: 0, notRun: 0, unknown: 0, retries: 0 };
  const property = fc.asyncProperty(
    fc.array(step, { minLength: 10, maxLength: 60 }),
    async (steps) => {
      const fleet = createFleet(advanceClock);
      for (const target of fleet.nodes) {
        fleet.announce(target, `${target.nodeId}-a`, 'ready');
        fleet.publishRecord(target);
      }
      for (const next of steps) {
        await runStep(fleet, next);
        fleet.check();
      }
      await fleet.close();
      for (const { results } of fleet.sent.values()) for (const kind of results) seen[kind] += 1;
      seen.retries += fleet.countRetries();
    },
  );
  await fc.assert(property, RUNS);
  t.diagnostic(JSON.stringify(seen));
  // Checks the coverage: the sequences must produce every kind of result and retries.
  for (const [kind, count] of Object.entries(seen)) assert.ok(count > 100, `${count} ${kind}`);
});
