import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { Announcement } from '../../src/generated/types.js';
import { settle, startMockClock } from '../../standins/memory/clock.js';
import { createFakeClient } from './fakeClient.js';
import { buildAnnouncement, buildCall, createInstanceSide, SERVICE } from './support.js';

const DRAIN_MS = 3000;
const TTL_MS = 10_000;
/** Longer than any test, since `performance.now` is not mocked. */
const LONG_MS = 600_000;

/** An instance side on the mocked clock, with one running call at each of two instances. */
async function startTwoCalls(t: TestContext) {
  const clock = startMockClock(1_800_000_000_000);
  t.after(() => clock.stop());
  const upstreams = createFakeClient();
  const side = createInstanceSide(t, {
    client: upstreams.client,
    ttlMs: TTL_MS,
    service: { drainMs: DRAIN_MS },
  });
  const announce = (instanceId: string, state: Announcement['state'], busy = 1) =>
    side.table.record(buildAnnouncement({ instanceId, state, slots: 1, busy }));
  announce('leaving', 'ready', 0);
  announce('staying', 'ready', 0);
  const calls = [buildCall({}, LONG_MS), buildCall({}, LONG_MS)];
  const results = calls.map((call) => side.dispatcher.dispatch(call));
  await settle();
  const open = upstreams.listOpen();
  assert.deepEqual(open.map(({ instanceId }) => instanceId).sort(), ['leaving', 'staying']);
  const index = open[0]?.instanceId === 'leaving' ? 0 : 1;
  const [leaving, staying] = [open[index], open[1 - index]];
  const order = calls.findIndex((call) => call.requestId === leaving?.requestId);
  assert.ok(leaving && staying);
  return {
    ...{ ...side, upstreams, announce, leaving, staying },
    abortedResult: results[order],
    otherResult: results[1 - order],
    advance: async (ms: number) => {
      clock.tick(ms);
      await settle();
    },
  };
}

async function isPending(result: Promise<unknown> | undefined): Promise<boolean> {
  return (await Promise.race([result, Promise.resolve('pending')])) === 'pending';
}

// Guards against aborting the calls of a draining instance too early or never, or aborting those of
// other instances.
test('calls of a draining instance are aborted after drainMs, not before', async (t) => {
  const { advance, announce, dispatcher, upstreams, ...calls } = await startTwoCalls(t);
  announce('leaving', 'leaving');
  await advance(DRAIN_MS - 1);
  assert.ok(await isPending(calls.abortedResult));
  assert.deepEqual(upstreams.cancelled, []);
  await advance(1);
  const aborted = await calls.abortedResult;
  assert.equal(aborted?.kind === 'unknown' && aborted.reason, 'cancelled');
  assert.deepEqual(upstreams.cancelled, [calls.leaving.requestId]);
  // The upstream still processes the request, so its slot is occupied.
  assert.deepEqual([dispatcher.getCounts().abandoned, calls.leaving.isOpen()], [1, true]);
  calls.leaving.fail();
  calls.staying.answer();
  assert.equal((await calls.otherResult)?.kind, 'answered');
  await advance(0);
  assert.equal(dispatcher.getCounts().abandoned, 0);
  assert.deepEqual(dispatcher.getLoad(SERVICE), { busy: 0, slots: 1, queued: 0 });
});

// Guards against an aborted response that appears complete to its caller.
test('a response that is still being read is aborted after drainMs', async (t) => {
  const { advance, announce, upstreams, abortedResult, leaving } = await startTwoCalls(t);
  leaving.answer(200, {}, false);
  const result = await abortedResult;
  assert.ok(result?.kind === 'answered');
  announce('leaving', 'leaving');
  await advance(DRAIN_MS);
  assert.equal(result.body.destroyed, true);
  assert.equal(result.body.readableEnded, false);
  assert.deepEqual(upstreams.cancelled, [leaving.requestId]);
});

// Guards against an instance that becomes ready again and still has its calls aborted by the
// previous drain, and against a second drain without a limit or with the limit of the first.
test('an instance that becomes ready again keeps its calls and can drain again', async (t) => {
  const { advance, announce, abortedResult } = await startTwoCalls(t);
  announce('leaving', 'leaving');
  await advance(DRAIN_MS - 1);
  announce('leaving', 'ready');
  await advance(DRAIN_MS);
  assert.ok(await isPending(abortedResult));
  announce('leaving', 'leaving');
  await advance(DRAIN_MS - 1);
  assert.ok(await isPending(abortedResult));
  await advance(1);
  assert.equal((await abortedResult)?.kind, 'unknown');
});

// Guards against connections and slots that an unresponsive upstream occupies forever.
for (const announced of [true, false]) {
  const how = announced ? 'drains and then' : 'suddenly';
  test(`the exchanges of an instance that ${how} disappears are closed`, async (t) => {
    const { advance, announce, dispatcher, abortedResult, leaving } = await startTwoCalls(t);
    if (announced) announce('leaving', 'leaving');
    // The other instance continues to announce itself.
    for (let second = 0; second < 20; second += 1) {
      announce('staying', 'ready');
      await advance(1000);
    }
    assert.equal((await abortedResult)?.kind, 'unknown');
    assert.equal(leaving.isOpen(), false);
    assert.equal(dispatcher.getCounts().abandoned, 0);
  });
}
