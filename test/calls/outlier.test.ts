/* eslint n/no-unsupported-features/node-builtins: ["error", { "allowExperimental": true }] --
   The design page asks for the mock timers of `node:test`, which Node.js 20 calls experimental. */
import assert from 'node:assert/strict';
import { mock, test, type TestContext } from 'node:test';
import { runCall, type EntryParts } from '../../src/core/calls/entry.js';
import { createNodeStatsTable } from '../../src/core/calls/nodeStats.js';
import { NOOP_OBSERVER } from '../../src/core/calls/observer.js';
import { createRetryBudget } from '../../src/core/calls/retryBudget.js';
import { createFakePools, type ForwardReply } from '../fakes/callPools.js';
import { settle } from '../../standins/memory/clock.js';
import { createRandom } from '../../standins/memory/nodes.js';
import { buildCall, buildRoute as buildCallRoute } from '../upstream/support.js';
import { buildAnswer, buildView, createDispatcher, createMembers } from './fakes.js';

const RANDOM_SEED = 20_261_204;
const CALLS_PER_SECOND = 50;
const STEP_MS = 1000 / CALLS_PER_SECOND;
/** The node under test. */
const FAULTY = 'n1';
const SERVICE_CHANGE = {
  outlier: { consecutiveFailures: 5, ejectMs: 2000, maxEjectedPercent: 50 },
};

/** Creates an entry node that makes 50 calls/s to four nodes; the test sets the reply of one. */
function startLoad(t: TestContext, timeoutMs: number) {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_000_000 });
  let nowMs = 0;
  mock.method(performance, 'now', () => nowMs);
  t.after(() => {
    mock.timers.reset();
    mock.restoreAll();
  });
  /** Times of the calls received by the node under test. */
  const calls: number[] = [];
  let replyFaulty = async (): Promise<ForwardReply> => buildAnswer('done');
  const views = ['n1', 'n2', 'n3', 'n4'].map((nodeId) => buildView({ nodeId }));
  const parts: EntryParts = {
    members: createMembers(buildView({ nodeId: 'entry', instances: [] }), views),
    dispatcher: createDispatcher(),
    pools: createFakePools(async ({ nodeId }) => {
      if (nodeId !== FAULTY) return buildAnswer('done');
      calls.push(nowMs);
      return replyFaulty();
    }),
    stats: createNodeStatsTable(),
    getLocalLoad: () => undefined,
    isLeaving: () => false,
    retryBudget: createRetryBudget(),
    observer: NOOP_OBSERVER,
    random: createRandom(RANDOM_SEED),
  };
  const route = buildCallRoute({ repeatability: 'once' }, SERVICE_CHANGE);
  const send = async () => {
    const result = await runCall(buildCall({ route }, timeoutMs), parts);
    if (result.kind === 'answered') result.body.resume();
  };
  return {
    calls,
    setReply(reply: () => Promise<ForwardReply>) {
      replyFaulty = reply;
    },
    /** Makes calls until `endMs` and returns the times of those to the node under test. */
    async runTo(endMs: number): Promise<readonly number[]> {
      const fromMs = nowMs;
      for (; nowMs < endMs; nowMs += STEP_MS) {
        void send();
        mock.timers.tick(STEP_MS);
        await settle();
      }
      return calls.filter((timeMs) => timeMs >= fromMs);
    },
  };
}

const fail = async (): Promise<ForwardReply> => {
  const result = buildAnswer('broken');
  assert.ok(result.kind === 'answered');
  return { ...result, status: 500 };
};
const hang = () => new Promise<ForwardReply>(() => {});

/** Fault, its reply, timeout of the calls, maximum calls in the first minute of the fault. */
const FAULTS: readonly (readonly [string, () => Promise<ForwardReply>, number, number])[] = [
  ['answers with errors', fail, 5000, 15],
  // The first ten calls occupy its slots before the first of them times out.
  ['hangs', hang, 3000, 25],
  ['hangs for longer than the longest ejection', hang, 25_000, 25],
];

// Guards against many failing calls to an ejected node whenever its ejection ends, and against a
// node that stays ejected long after its recovery.
for (const [fault, reply, timeoutMs, mostCalls] of FAULTS) {
  test(`outlier: a node that ${fault} gets few calls and returns within 10 s`, async (t) => {
    const load = startLoad(t, timeoutMs);
    const before = await load.runTo(5000);
    assert.ok(before.length > 40, `${before.length} of 250 calls before the fault`);
    load.setReply(reply);
    const during = await load.runTo(65_000);
    assert.ok(during.length <= mostCalls, `${during.length} of 3000 calls`);
    const late = await load.runTo(125_000);
    // One trial every 10 s, that is one of 500 calls or 0.2%.
    assert.ok(late.length >= 5 && late.length <= 7, `${late.length} of 3000 calls`);
    load.setReply(async () => buildAnswer('done'));
    const [first = Infinity] = await load.runTo(136_000);
    assert.ok(first <= 135_500, `the first call came ${first - 125_000} ms after the recovery`);
    // Hung calls count as load of the node until they time out.
    await load.runTo(125_000 + timeoutMs + 12_000);
    const share = (await load.runTo(125_000 + timeoutMs + 22_000)).length / 500;
    // The expected share is a quarter; random choices deviate from it.
    assert.ok(share > 0.18 && share < 0.32, `${share} of the calls after the return`);
  });
}
