import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createKeyPartitions } from '../../src/core/upstream/keyPartitions.js';
import type { KeyPartition } from '../../src/generated/types.js';
import type { MemberView } from '../../src/types/interfaces.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { settle, startMockClock } from '../../standins/memory/clock.js';
import {
  buildKey,
  buildMember,
  buildView,
  createFakeMembers,
  createFakePlatform,
  SERVICE,
  type PlatformFault,
} from './support.js';

const START_MS = 1_800_000_000_000;
const HORIZON_MS = 120_000;
const RENEW_MS = 30_000;
/** A renewal is due within a quarter of the interval to a quarter beyond it, plus one pass. */
const LONGEST_RENEWAL_MS = RENEW_MS * 1.25 + 1000;

/** Nodes whose own loops run on the mocked clock. */
function startLoops(t: TestContext) {
  const clock = startMockClock(START_MS);
  const platform = createFakePlatform();
  const views = new Map<string, MemberView>();
  const nodes: ReturnType<typeof createKeyPartitions>[] = [];
  t.after(async () => {
    platform.setFaults(() => 'none');
    await Promise.all(nodes.map((node) => node.stop()));
    clock.stop();
  });
  return {
    ...{ clock, platform, views },
    start(nodeId: string) {
      const incarnation = `1-${nodeId}`;
      views.set(nodeId, buildView(buildMember(nodeId, { incarnation })));
      const node = createKeyPartitions({
        platform: platform.client,
        members: createFakeMembers(nodeId, views),
        ...{ incarnation, logger: SILENT_LOGGER, random: () => 0.5 },
      });
      nodes.push(node);
      node.start();
      return node;
    },
    setFault: (fault: PlatformFault) => platform.setFaults(() => fault),
    setVerdict(nodeId: string, verdict: MemberView['verdict']) {
      const view = views.get(nodeId);
      if (view) views.set(nodeId, { ...view, verdict });
    },
    /** Runs the loops for some seconds; `check` is asked after each. */
    async run(seconds: number, check: () => void = () => {}) {
      for (let second = 0; second < seconds; second += 1) {
        clock.tick(1000);
        await settle();
        check();
      }
    },
  };
}

type Loops = ReturnType<typeof startLoops>;
type Node = ReturnType<Loops['start']>;

async function checkKind(node: Node, timeMs: number): Promise<string> {
  const verdict = await node.checkKey(SERVICE, buildKey(timeMs));
  return verdict.kind === 'notRun' ? verdict.reason : verdict.kind;
}

const getEnds = (node: Node) => node.listHeld().map(({ until }) => until);

// Guards against a loop that does not claim, forgets a partition, or writes at every pass.
test('the loop claims once and renews each partition every 30 s', async (t) => {
  const { start, run, platform } = startLoops(t);
  const node = start('a');
  assert.deepEqual(node.listHeld(), [], 'nothing is claimed before the first pass');
  await run(1);
  assert.equal(node.listHeld().length, 8);
  assert.equal(platform.objects.size, 8);
  let shortestMs = Infinity;
  await run(600, () => {
    shortestMs = Math.min(shortestMs, ...getEnds(node).map((until) => until - Date.now()));
  });
  assert.ok(shortestMs >= HORIZON_MS - LONGEST_RENEWAL_MS, `${shortestMs} ms were left`);
  const writes = Math.max(...[...platform.objects.values()].map(({ version }) => version));
  // 8 claims, then 20 renewals of each in 600 s; the first may come early.
  assert.ok(writes >= 8 + 8 * 19 && writes <= 8 + 8 * 21, `${writes} writes`);
});

// Guards against a key that both the old and the new owner run, and a loop that ends with a loss.
test('a lease that was lost to another node is not renewed and not taken back', async (t) => {
  const { start, run, setVerdict, setFault } = startLoops(t);
  const first = start('a');
  await run(2);
  setVerdict('a', 'dead');
  const second = start('b');
  await run(3);
  const bounds = second.listHeld();
  assert.equal(bounds.length, 8);
  setVerdict('a', 'alive');
  await run(120);
  assert.deepEqual(first.listHeld(), [], 'each renewal met the new owner');
  assert.equal(await checkKind(first, Date.now()), 'wrong-node');
  assert.equal(await checkKind(second, Date.now()), 'allowed');
  // The new owner's end must pass before the first one may claim, and only what follows.
  setFault('down');
  await second.stop();
  setVerdict('b', 'dead');
  setFault('none');
  await run(5);
  assert.equal(first.listHeld().length, 8);
  for (const { name, from } of first.listHeld()) {
    const ended = second.listHeld().find((held) => held.name === name);
    assert.equal(ended, undefined);
    assert.ok(from > Date.now(), 'the interval of the dead owner is left alone');
  }
});

// Guards against a node that serves without the platform beyond its interval, a loop that gives
// up during an outage, and retries of all partitions in each pass.
test('an outage of the platform costs what lies beyond the interval, and no more', async (t) => {
  const { start, run, platform, setFault } = startLoops(t);
  const node = start('a');
  await run(2);
  let calls = 0;
  platform.setFaults(() => {
    calls += 1;
    return 'down';
  });
  await run(60);
  const until = Math.min(...getEnds(node));
  assert.equal(await checkKind(node, until - 1), 'allowed');
  await run(240);
  assert.deepEqual([await checkKind(node, until - 1), node.listHeld().length], ['allowed', 8]);
  assert.equal(await checkKind(node, Date.now()), 'key-unowned');
  // Each failed renewal waits up to 8 s and makes two calls at most.
  assert.ok(calls > 100 && calls < 8 * 100, `${calls} calls in 300 s`);
  setFault('none');
  await run(10);
  assert.equal(await checkKind(node, Date.now()), 'allowed');
  assert.equal(await checkKind(node, until - 1), 'allowed');
  assert.ok(Math.min(...getEnds(node)) > Date.now() + HORIZON_MS - LONGEST_RENEWAL_MS);
});

// Guards against partitions that nobody holds while their owner has no upstream, and against
// writes of a loop that has been stopped.
test('the loop releases what it cannot serve and ends with the stop', async (t) => {
  const { start, run, views, platform } = startLoops(t);
  const node = start('a');
  await run(2);
  const view = views.get('a');
  assert.ok(view);
  views.set('a', { ...view, record: { ...view.record, instances: [] } });
  await run(9);
  assert.equal(node.listHeld().length, 8, 'an upstream may restart meanwhile');
  await run(3);
  assert.equal(node.listHeld().length, 0);
  views.set('a', view);
  await run(2);
  assert.equal(node.listHeld().length, 8);
  const taken = buildKey(Date.now() - 500);
  assert.equal(node.takeKey(SERVICE, taken).kind, 'allowed');
  await node.stop();
  const stored = JSON.stringify([...platform.objects.values()]);
  const ends = [...platform.objects.values()].map(({ value }) => (value as KeyPartition).until);
  // Each interval ends above the keys that were handed over, so a successor may run all others.
  assert.deepEqual(
    ends.sort((one, other) => one - other),
    [0, 0, 0, 0, 0, 0, 0, taken.issuedAtMs + 1],
  );
  await run(60);
  assert.equal(JSON.stringify([...platform.objects.values()]), stored);
});
