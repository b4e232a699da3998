import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeRenewAt, createKeyPartitions } from '../../src/core/upstream/keyPartitions.js';
import { createPartitionLease } from '../../src/core/upstream/partitionLease.js';
import type { KeyPartition, MemberRecord } from '../../src/generated/types.js';
import type { MemberView } from '../../src/types/interfaces.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
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
const NAME = 'keypartitions/padbook.0';

/** Nodes that share a platform, a clock and a view of the members. */
function startNodes(...nodeIds: string[]) {
  const platform = createFakePlatform();
  const clock = { nowMs: START_MS };
  const views = new Map<string, MemberView>();
  const add = (nodeId: string, incarnation = `1-${nodeId}`) => {
    views.set(nodeId, buildView(buildMember(nodeId, { incarnation })));
    return createKeyPartitions({
      platform: platform.client,
      members: createFakeMembers(nodeId, views),
      incarnation,
      logger: SILENT_LOGGER,
      now: () => clock.nowMs,
      random: () => 0,
    });
  };
  const nodes = nodeIds.map((nodeId) => add(nodeId));
  const setVerdict = (nodeId: string, verdict: MemberView['verdict']) => {
    const view = views.get(nodeId);
    if (view) views.set(nodeId, { ...view, verdict });
  };
  const setState = (nodeId: string, state: MemberRecord['state']) => {
    const view = views.get(nodeId);
    if (view) views.set(nodeId, { ...view, record: { ...view.record, state } });
  };
  /** Advances by whole seconds and runs a pass of the given nodes after each. */
  const run = async (seconds: number, running = nodes) => {
    for (let second = 0; second < seconds; second += 1) {
      clock.nowMs += 1000;
      await Promise.all(running.map((node) => node.runPass()));
    }
  };
  return { platform, clock, nodes, add, run, setVerdict, setState };
}

type Node = ReturnType<typeof createKeyPartitions>;

async function summarizeKey(
  node: Node | undefined,
  timeMs: number,
  partition?: number,
): Promise<string> {
  assert.ok(node);
  const verdict = await node.checkKey(SERVICE, buildKey(timeMs, partition));
  if (verdict.kind !== 'notRun') return verdict.kind;
  return `${verdict.reason} ${verdict.hint ?? ''}`.trim();
}

// Guards against two owners of one partition and against partitions without an owner.
test('two nodes that start at once share the partitions, each with one owner', async () => {
  const { nodes, run } = startNodes('a', 'b');
  await run(2);
  const held = nodes.flatMap((node) => node.listHeld().map(({ name }) => name));
  assert.equal(held.length, 8);
  assert.equal(new Set(held).size, 8);
  const key = buildKey(START_MS);
  const verdicts = await Promise.all(nodes.map((node) => node.checkKey(SERVICE, key)));
  assert.deepEqual(verdicts.map(({ kind }) => kind).sort(), ['allowed', 'notRun']);
  const refused = verdicts.find(({ kind }) => kind === 'notRun');
  const owner = verdicts[0]?.kind === 'allowed' ? 'a' : 'b';
  assert.ok(refused?.kind === 'notRun');
  assert.deepEqual([refused.reason, refused.hint], ['wrong-node', owner]);
});

// Guards against a key that both a paused owner and its successor run.
test('a paused owner that wakes keeps to the interval before the takeover', async () => {
  const { nodes, run, add, setVerdict, clock } = startNodes('a');
  const [paused] = nodes;
  await run(1);
  const until = Math.min(...(paused?.listHeld() ?? []).map((bounds) => bounds.until));
  const successor = add('b');
  setVerdict('a', 'dead');
  await run(2, [successor]);
  assert.equal(successor.listHeld().length, 8);
  assert.equal(Math.min(...successor.listHeld().map(({ from }) => from)), until);
  clock.nowMs = until + 5000;
  await successor.runPass();
  assert.equal(await summarizeKey(paused, until - 1), 'allowed');
  assert.equal(await summarizeKey(successor, until - 1), 'unknown');
  assert.equal(await summarizeKey(paused, until), 'key-unowned');
  assert.equal(await summarizeKey(successor, until), 'allowed');
  setVerdict('a', 'alive');
  await run(3);
  assert.deepEqual(paused?.listHeld(), [], 'a living owner is not replaced');
  assert.equal(await summarizeKey(paused, until), 'wrong-node b');
});

// Guards against owners that serve beyond their interval, or stop before its end.
test('without the platform an owner serves to the end of its interval, then refuses', async () => {
  const { nodes, run, platform, clock } = startNodes('a');
  const [node] = nodes;
  await run(1);
  const until = Math.min(...(node?.listHeld() ?? []).map((bounds) => bounds.until));
  platform.setFaults(() => 'down');
  await run(200);
  assert.equal(await summarizeKey(node, until - 1), 'allowed');
  assert.equal(await summarizeKey(node, until), 'key-unowned');
  platform.setFaults(() => 'none');
  await run(10);
  assert.equal(await summarizeKey(node, clock.nowMs), 'allowed');
  assert.equal(await summarizeKey(node, until - 1), 'allowed');
});

// Guards against ownership that is given up, or assumed, because an answer was lost.
test('lost answers to a claim, a renewal and a truncation are resolved by reading', async () => {
  const { nodes, run, platform, add, clock, setVerdict } = startNodes('a');
  const [node] = nodes;
  platform.setFaults(() => 'loseAnswer');
  await run(3);
  assert.equal(node?.listHeld().length, 8);
  const before = node?.listHeld()[0]?.until ?? 0;
  await run(60);
  assert.ok((node?.listHeld()[0]?.until ?? 0) > before);
  const takenMs = clock.nowMs;
  node?.takeKey(SERVICE, buildKey(takenMs, 0));
  await run(1);
  await node?.stop();
  for (const [name, { value }] of platform.objects) {
    assert.equal((value as KeyPartition).until, name === NAME ? takenMs + 1 : 0);
  }
  setVerdict('a', 'dead');
  const successor = add('b');
  await run(3, [successor]);
  assert.equal(await summarizeKey(successor, takenMs, 0), 'unknown');
  assert.equal(await summarizeKey(successor, takenMs + 1, 0), 'allowed');
  assert.equal(await summarizeKey(successor, takenMs, 1), 'allowed');
  assert.equal(await summarizeKey(node, takenMs + 1, 0), 'key-unowned');
  assert.equal(await summarizeKey(node, takenMs, 1), 'key-unowned');
});

// Guards G8: keys made before a planned stop that no node will run, although none has run them.
test('a planned stop leaves each key to one node that still answers', async () => {
  const { nodes, run, add, setState, clock } = startNodes('a');
  const [node] = nodes;
  await run(1);
  const takenMs = clock.nowMs;
  const late = buildKey(takenMs - 5, 0);
  node?.takeKey(SERVICE, buildKey(takenMs, 0));
  const successor = add('b');
  setState('a', 'leaving');
  await run(3, [successor]);
  assert.deepEqual(successor.listHeld(), [], 'a claim before the truncation wastes keys');
  assert.equal(await summarizeKey(successor, takenMs - 5, 0), 'wrong-node a');
  await node?.stop();
  await run(2, [successor]);
  assert.equal(successor.listHeld().length, 8);
  assert.equal(await summarizeKey(successor, takenMs - 5, 0), 'wrong-node a');
  assert.equal(node?.isRetained(SERVICE, late), true);
  assert.equal(node?.takeKey(SERVICE, late).kind, 'allowed');
  assert.equal(node?.isRetained(SERVICE, buildKey(takenMs + 1, 0)), false);
  assert.equal(await summarizeKey(successor, takenMs + 1, 0), 'allowed');
  assert.equal(await summarizeKey(successor, takenMs - 5, 1), 'allowed');
  setState('a', 'left');
  assert.equal(await summarizeKey(successor, takenMs - 5, 0), 'unknown');
});

// Guards G8: a key that is given up because its owner's record was read before the truncation.
test('a key is given up only on bounds that were read after the end of its owner', async () => {
  const { nodes, run, add, setState, clock } = startNodes('a');
  const [node] = nodes;
  await run(1);
  const other = add('b');
  assert.equal(await summarizeKey(other, clock.nowMs, 0), 'wrong-node a');
  setState('a', 'leaving');
  assert.equal(await summarizeKey(other, clock.nowMs, 0), 'wrong-node a');
  await node?.stop();
  setState('a', 'left');
  assert.equal(await summarizeKey(other, clock.nowMs, 0), 'key-unowned');
  clock.nowMs += 1000;
  assert.equal(await summarizeKey(other, clock.nowMs - 1000, 0), 'key-unowned');
  const crashed = startNodes('a');
  await crashed.run(1);
  crashed.setVerdict('a', 'dead');
  assert.equal(await summarizeKey(crashed.add('b'), crashed.clock.nowMs, 0), 'unknown');
});

// Guards G8: keys given up because the owner started again and its new record has not arrived yet.
test('an owner that started after the known process is not taken for gone', async () => {
  const { run, add, setState, clock } = startNodes();
  await run(1, [add('a', '5-a')]);
  add('a', '1-a');
  setState('a', 'left');
  const other = add('b');
  await run(2, [other]);
  assert.equal(await summarizeKey(other, clock.nowMs, 0), 'key-unowned');
  assert.deepEqual(other.listHeld(), [], 'a claim would waste the keys of a living owner');
});

// Guards against a truncation that takes effect late and shortens an interval taken up again.
test('a truncation under way makes the object at its version void for its owner', async () => {
  const platform = createFakePlatform();
  let fault: PlatformFault = 'none';
  platform.setFaults(() => fault);
  const lease = createPartitionLease({
    platform: platform.client,
    name: NAME,
    nodeId: 'a',
    incarnation: '1-a',
    horizonMs: 120_000,
    now: () => START_MS,
  });
  await lease.claim();
  const until = lease.getHeld()?.until ?? 0;
  fault = 'delayWrite';
  const released = lease.release();
  assert.equal(lease.getHeld(), undefined, 'a release has effect at once');
  await released;
  fault = 'none';
  await lease.read();
  assert.equal(lease.getHeld(), undefined, 'reading alone gives no right');
  await lease.claim();
  assert.equal(lease.getHeld()?.from, until);
  platform.applyDelayed();
  assert.deepEqual(platform.objects.get(NAME)?.value, {
    nodeId: 'a',
    incarnation: '1-a',
    ...{ from: until, until },
  });
});

// Guards against a renewal that undoes a takeover which crossed it.
test('of a renewal and a takeover that cross, one takes effect', async () => {
  const { nodes, run, platform, add, setVerdict, clock } = startNodes('a');
  const [owner] = nodes;
  await run(1);
  setVerdict('a', 'dead');
  const successor = add('b');
  clock.nowMs += 60_000;
  await Promise.all([owner?.runPass(), successor.runPass()]);
  await run(2, [successor]);
  for (const { value } of platform.objects.values()) {
    const { nodeId, from } = value as KeyPartition;
    const held = (nodeId === 'a' ? owner : successor)?.listHeld() ?? [];
    assert.ok(held.some((bounds) => bounds.from === from));
  }
  for (const { name, until } of owner?.listHeld() ?? []) {
    const other = successor.listHeld().find((bounds) => bounds.name === name);
    assert.ok(!other || other.from >= until, `${name} overlaps`);
  }
});

// Guards against a process that uses the interval of its predecessor with the same node id.
test('a restarted node starts after the interval of its earlier process', async () => {
  const { nodes, run, add, clock } = startNodes('a');
  await run(1);
  const until = Math.max(...(nodes[0]?.listHeld() ?? []).map((bounds) => bounds.until));
  const restarted = add('a', '2-a');
  await run(2, [restarted]);
  assert.equal(await summarizeKey(restarted, until - 60_000), 'unknown');
  clock.nowMs = until;
  await run(1, [restarted]);
  assert.equal(await summarizeKey(restarted, until + 1000), 'allowed');
});

// Guards against renewals of a service's partitions in the same second.
test('renewals of the eight partitions are 3.75 s apart', () => {
  const times = Array.from({ length: 8 }, (_, index) => computeRenewAt(START_MS, index * 3750));
  const sorted = times.map((timeMs) => timeMs - START_MS).sort((a, b) => a - b);
  for (const [index, timeMs] of sorted.entries()) {
    assert.ok(timeMs >= 7500 && timeMs < 37_500);
    if (index > 0) assert.equal(timeMs - (sorted[index - 1] ?? 0), 3750);
  }
});
