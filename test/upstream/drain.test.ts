import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { Announcement } from '../../src/generated/types.js';
import { settle, startMockClock } from '../../standins/memory/clock.js';
import { createFakeClient } from './fakeClient.js';
import { buildAnnouncement, buildCall, createInstanceSide, SERVICE } from './support.js';

const DRAIN_MS = 3000;
const TTL_MS = 10_000;
/** Beyond the times of every test: `performance.now` is not mocked. */
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
    cutResult: results[order],
    keptResult: results[1 - order],
    advance: async (ms: number) => {
      clock.tick(ms);
      await settle();
    },
  };
}

async function isPending(result: Promise<unknown> | undefined): Promise<boolean> {
  return (await Promise.race([result, Promise.resolve('pending')])) === 'pending';
}

// Guards against a leaving instance whose calls are cut too early, never, or with those of others.
test('calls of a leaving instance are cut when its drainMs has passed, not before', async (t) => {
  const { advance, announce, dispatcher, upstreams, ...calls } = await startTwoCalls(t);
  announce('leaving', 'leaving');
  await advance(DRAIN_MS - 1);
  assert.ok(await isPending(calls.cutResult));
  assert.deepEqual(upstreams.cancelled, []);
  await advance(1);
  const cut = await calls.cutResult;
  assert.equal(cut?.kind === 'unknown' && cut.reason, 'cancelled');
  assert.deepEqual(upstreams.cancelled, [calls.leaving.requestId]);
  // The upstream still runs it, so its slot is not free.
  assert.deepEqual([dispatcher.getCounts().abandoned, calls.leaving.isOpen()], [1, true]);
  calls.leaving.fail();
  calls.staying.answer();
  assert.equal((await calls.keptResult)?.kind, 'answered');
  await advance(0);
  assert.equal(dispatcher.getCounts().abandoned, 0);
  assert.deepEqual(dispatcher.getLoad(SERVICE), { busy: 0, slots: 1, queued: 0 });
});

// Guards against a response under way that seems whole to its caller after it was cut.
test('a response that is still read is broken off when drainMs has passed', async (t) => {
  const { advance, announce, upstreams, cutResult, leaving } = await startTwoCalls(t);
  leaving.answer(200, {}, false);
  const result = await cutResult;
  assert.ok(result?.kind === 'answered');
  announce('leaving', 'leaving');
  await advance(DRAIN_MS);
  assert.equal(result.body.destroyed, true);
  assert.equal(result.body.readableEnded, false);
  assert.deepEqual(upstreams.cancelled, [leaving.requestId]);
});

// Guards against an instance that is ready again and loses its calls to the old limit, and
// against a second leave that has no limit or that of the first.
test('an instance that is ready again keeps its calls, and leaves anew', async (t) => {
  const { advance, announce, cutResult } = await startTwoCalls(t);
  announce('leaving', 'leaving');
  await advance(DRAIN_MS - 1);
  announce('leaving', 'ready');
  await advance(DRAIN_MS);
  assert.ok(await isPending(cutResult));
  announce('leaving', 'leaving');
  await advance(DRAIN_MS - 1);
  assert.ok(await isPending(cutResult));
  await advance(1);
  assert.equal((await cutResult)?.kind, 'unknown');
});

// Guards against connections and slots that are held for ever by an upstream that has frozen.
for (const announced of [true, false]) {
  const how = announced ? 'leaves and' : 'silently';
  test(`an instance that ${how} disappears loses its exchanges too, later`, async (t) => {
    const { advance, announce, dispatcher, cutResult, leaving } = await startTwoCalls(t);
    if (announced) announce('leaving', 'leaving');
    // The other instance goes on announcing.
    for (let second = 0; second < 20; second += 1) {
      announce('staying', 'ready');
      await advance(1000);
    }
    assert.equal((await cutResult)?.kind, 'unknown');
    assert.equal(leaving.isOpen(), false);
    assert.equal(dispatcher.getCounts().abandoned, 0);
  });
}
