import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DataCentre, NodeId, ServiceName } from '../../src/types/ids.js';
import { advance, settle } from '../../standins/memory/clock.js';
import { chooseIncarnation } from '../../src/core/membership/chooseIncarnation.js';
import { getStartMs } from '../../src/core/membership/incarnation.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import {
  buildSettings,
  startTestNode,
  toSender,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

const mesh = useTestMesh();

function countAlive({ members }: TestNode): number {
  return members.listMembers().filter(({ verdict }) => verdict === 'alive').length;
}

/** Starts five nodes and waits until each has all five in its table. */
async function startFive(): Promise<[TestNode, ...TestNode[]]> {
  mesh.startNodes('dc-a', 100, 5);
  await advance(6000);
  assertAll(mesh.nodes, countAlive, 5);
  return mesh.nodes as [TestNode, ...TestNode[]];
}

function getView(node: TestNode, subject: TestNode) {
  return node.members.getMember(subject.members.getSelf().nodeId as NodeId);
}

/** Drops every message between the two groups of ports. */
function partition(isInside: (port: string) => boolean): void {
  mesh.network.decideDelivery = ({ from, to }) =>
    isInside(from) === isInside(to) ? 'deliver' : 'lose';
}

// Guards against a dead member that stays in tables, or whose verdict does not reach all nodes.
test('a crashed member is dead on all nodes within 8 s and a tombstone for two hours', async () => {
  const [, ...rest] = await startFive();
  const crashed = rest.pop() as TestNode;
  const others = mesh.nodes.filter((node) => node !== crashed);
  await crashed.stop();
  await advance(8000);
  assertAll(others, (node) => getView(node, crashed)?.verdict, 'dead');
  await advance(7_200_000, 60_000);
  await advance(2000);
  assertAll(others, (node) => getView(node, crashed), undefined);
});

// Guards against a member that is declared dead although other members reach it.
test('a member that one node cannot reach stays alive through indirect pings', async () => {
  const [first, second] = await startFive();
  mesh.network.decideDelivery = ({ from, to }) =>
    [from, to].sort().join() === '100,101' ? 'lose' : 'deliver';
  await advance(15_000);
  assert.equal(getView(first, second as TestNode)?.verdict, 'alive');
  assertAll(mesh.nodes, countAlive, 5);
});

// Guards against a partitioned node that, after the partition heals, spreads its `dead` verdicts.
test('after a partition inside a data centre heals, no member stays dead', async () => {
  const [first, second] = await startFive();
  partition((port) => port === '100');
  await advance(25_000);
  assert.equal(getView(second as TestNode, first)?.verdict, 'dead');
  assert.equal(countAlive(first), 1);
  const deadIds: string[] = [];
  second?.members.onChange(({ record, verdict }) => {
    if (verdict === 'dead') deadIds.push(record.nodeId);
  });
  mesh.network.decideDelivery = () => 'deliver';
  await advance(25_000);
  assertAll(mesh.nodes, countAlive, 5);
  assert.deepEqual(deadIds, []);
});

// Guards against a restarted process that is confused with its dead predecessor.
test('a restarted member replaces its earlier incarnation in all tables', async () => {
  await startFive();
  const old = mesh.nodes.pop() as TestNode;
  await old.stop();
  mesh.nodes.push(startTestNode(mesh, old.port, 'dc-a', [100], 500_000));
  await advance(8000);
  assertAll(mesh.nodes, (node) => getView(node, old)?.record.incarnation, '500000-a');
  assertAll(mesh.nodes, countAlive, 5);
});

// Guards against new calls to a leaving node until gossip has reached all members.
test('leaving is known to all members without waiting for a ping', async () => {
  const [first, ...rest] = await startFive();
  first.members.updateSelf({ state: 'leaving' });
  await settle();
  assertAll(rest, (node) => getView(node, first)?.record.state, 'leaving');
});

// Guards against new calls to a draining instance until gossip has reached all members.
test('a draining instance is known to all members without waiting for a ping', async () => {
  const [first, ...rest] = await startFive();
  const instance = { instanceId: 'i', service: 'padbook', slots: 1, readySinceMs: 1 };
  first.members.updateSelf({ instances: [{ ...instance, state: 'ready' }] });
  await advance(5000);
  first.members.updateSelf({ instances: [{ ...instance, state: 'draining' }] });
  await settle();
  const readState = (node: TestNode) => getView(node, first)?.record.instances[0]?.state;
  assertAll(rest, readState, 'draining');
});

// Guards against an unchanged record that is sent repeatedly.
test('an update without a change does not increment the sequence', async () => {
  const [first] = await startFive();
  const { sequence } = first.members.getSelf();
  first.members.updateSelf({ state: 'serving', instances: [] });
  assert.equal(first.members.getSelf().sequence, sequence);
});

// Guards against a data centre without relays after its relays have crashed.
test('live members become relays within 5 s when both relays crash', async () => {
  await startFive();
  const isRelay = mesh.nodes.map((node) => node.members.isRelay());
  assert.equal(isRelay.filter(Boolean).length, 2);
  const rest = mesh.nodes.filter((_, index) => !isRelay[index]);
  await Promise.all(mesh.nodes.filter((_, index) => isRelay[index]).map((node) => node.stop()));
  mesh.nodes = rest;
  await advance(5000);
  assert.equal(rest.filter((node) => node.members.isRelay()).length, 2);
});

// Guards against a partition that is not reported, and records that are lost because of it.
test('a partitioned data centre is reported with its time and catches up later', async () => {
  mesh.startNodes('dc-a', 100, 3, [200]);
  mesh.startNodes('dc-b', 200, 3, [100]);
  await advance(8000);
  assertAll(mesh.nodes, countAlive, 6);
  const partitionedAtMs = Date.now();
  partition((port) => port.startsWith('2'));
  await advance(30_000);
  const [relay] = mesh.nodes.filter(({ port, members }) => port < 200 && members.isRelay());
  const [view] = relay?.members.listDataCentres() ?? [];
  assert.equal(view?.isReachable, false);
  assert.ok(view.sinceMs > partitionedAtMs && view.sinceMs < partitionedAtMs + 10_000);
  assertAll(mesh.nodes, countAlive, 6);
  const changed = mesh.nodes.at(-1) as TestNode;
  const instances = [
    { instanceId: 'i', service: 'padbook', slots: 4, state: 'ready' as const, readySinceMs: 0 },
  ];
  changed.members.updateSelf({ instances });
  mesh.network.decideDelivery = () => 'deliver';
  await advance(10_000);
  const countInstances = ({ members }: TestNode) =>
    members.listByService('padbook' as ServiceName).length;
  assertAll(mesh.nodes, countInstances, 1);
  assert.equal(relay?.members.listDataCentres()[0]?.isReachable, true);
});

// Guards against nodes that discover each other only through the seeds of their settings.
test('nodes without working seeds discover each other through the platform object', async () => {
  mesh.startNodes('dc-a', 100, 2);
  await advance(25_000);
  mesh.nodes.push(startTestNode(mesh, 150, 'dc-a', [999]));
  await advance(10_000);
  assertAll(mesh.nodes, countAlive, 3);
  const relays = mesh.nodes[0]?.members.listRelays('dc-a' as DataCentre);
  assert.equal(relays?.length, 2);
  assert.ok((mesh.platform.calls.create ?? 0) + (mesh.platform.calls.update ?? 0) <= 4);
});

// Guards against data centres that stay separate because each node joined through a local seed.
test('data centres discover each other through their settings with the platform down', async () => {
  mesh.platform.setDown(true);
  partition((port) => port.startsWith('2'));
  mesh.startNodes('dc-a', 100, 2, [200]);
  mesh.startNodes('dc-b', 200, 2, [100]);
  await advance(3000);
  assertAll(mesh.nodes, countAlive, 2);
  mesh.network.decideDelivery = () => 'deliver';
  await advance(12_000);
  assertAll(mesh.nodes, countAlive, 4);
});

// Guards against data centres that wait for each other's seed list until its regular write.
test('data centres without remote seeds discover each other soon after their start', async () => {
  mesh.startNodes('dc-a', 100, 2);
  mesh.startNodes('dc-b', 200, 2);
  await advance(9000);
  assertAll(mesh.nodes, countAlive, 4);
});

// Guards against a process that is refused permanently because its clock is behind that of the
// process it replaces, or because the clock of the replaced process was ahead.
test('a process whose clock is behind replaces the earlier process of its node', async () => {
  await startFive();
  const old = mesh.nodes.pop() as TestNode;
  const record = { ...old.members.getSelf(), incarnation: `${Date.now() + 3_600_000}-a` };
  const push = { from: toSender(record), changes: [{ record, verdict: 'alive' }] };
  for (const { port } of mesh.nodes) {
    old.peers.notify({ host: '127.0.0.1', port }, 'members.push', push);
  }
  await settle();
  await old.stop();
  await advance(12_000);
  const { peers } = mesh.network.addNode(old.port);
  const settings = buildSettings(old.port, 'dc-a', [100]);
  const choosing = chooseIncarnation({
    settings,
    peers,
    platform: mesh.platform,
    logger: SILENT_LOGGER,
  });
  await advance(600);
  const incarnation = await choosing;
  assert.equal(getStartMs(incarnation), getStartMs(record.incarnation) + 1);
  const restarted = startTestNode(mesh, old.port, 'dc-a', [100], getStartMs(incarnation));
  mesh.nodes.push(restarted);
  await advance(8000);
  assertAll(mesh.nodes, countAlive, 5);
});

// Guards against suspicions that are extended by the time the wall clock was set back.
test('a crash is detected although the clock is set back in the meantime', async () => {
  const [first] = await startFive();
  const crashed = mesh.nodes.pop() as TestNode;
  await crashed.stop();
  while (getView(first, crashed)?.verdict !== 'suspect') await advance(100);
  const { now } = Date;
  Date.now = () => now() - 3_600_000;
  await advance(10_000);
  assertAll(mesh.nodes, (node) => getView(node, crashed)?.verdict, 'dead');
});
