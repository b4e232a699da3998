import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MemberChange, Ping } from '../../src/generated/types.js';
import type { DataCentre, NodeId } from '../../src/types/ids.js';
import { advance } from '../../standins/memory/clock.js';
import {
  acceptBundle,
  buildBundle,
  startTestNode,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll, unwrap } from '../fakes/results.js';

const mesh = useTestMesh();

const INSTANCE = {
  instanceId: 'i',
  service: 'padbook',
  slots: 4,
  state: 'ready' as const,
  readySinceMs: 0,
};

// Guards against relays that use up the transmissions of a change on exchanges with other data
// centres: local members then miss the change, and each one that pings the relay compares tables.
test('exchanges between data centres contain only changes of the sending data centre', async () => {
  const sites = [100, 200, 300];
  for (const first of sites) mesh.startNodes(`dc-${first}`, first, 12, sites);
  await advance(30_000);
  mesh.network.sent.length = 0;
  const changed = mesh.nodes.filter(({ port }) => port % 100 < 4);
  for (const { members } of changed) members.updateSelf({ instances: [INSTANCE] });
  await advance(10_000);
  const getSite = (port: string) => `dc-${port.slice(0, 1)}00`;
  const crossSiteMessages = mesh.network.sent.filter(
    ({ from, to }) => getSite(from) !== getSite(to),
  );
  const foreign = crossSiteMessages.filter(({ from, params }) =>
    ((params.changes ?? []) as MemberChange[]).some(
      ({ record }) => record.dataCentre !== getSite(from),
    ),
  );
  assert.ok(crossSiteMessages.length > 0);
  assert.deepEqual(foreign, []);
  const countInstances = (node: (typeof mesh.nodes)[number]) =>
    node.members.listMembers().filter(({ record }) => record.instances.length > 0).length;
  assertAll(mesh.nodes, countInstances, changed.length);
  const comparisons = mesh.network.sent.filter(({ method }) => method === 'members.buckets');
  // Random gossip may miss a node; one comparison per data centre repairs and repeats the change.
  assert.ok(comparisons.length <= sites.length, `${comparisons.length} comparisons`);
});

/** Starts two data centres of six nodes; returns the relays of the first, best rank first. */
async function startTwo(): Promise<[TestNode, TestNode]> {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 6, [200]);
  mesh.startNodes('dc-b', 200, 6, [100]);
  await advance(20_000);
  const relays = mesh.nodes[0]?.members.listRelays('dc-a' as DataCentre) ?? [];
  const ports = relays.map(({ record }) => record.peerPort);
  const found = ports.map((port) => mesh.nodes.find((node) => node.port === port));
  return found as [TestNode, TestNode];
}

/** Changes the record of a node of the first data centre that is not a relay. */
function changeRecord(relays: readonly TestNode[]): TestNode {
  const changed = mesh.nodes.find((node) => !relays.includes(node)) as TestNode;
  changed.members.updateSelf({ instances: [INSTANCE] });
  return changed;
}

const hasChange = (changed: TestNode) => (node: TestNode) => {
  const { nodeId, sequence } = changed.members.getSelf();
  return node.members.getMember(nodeId as NodeId)?.record.sequence === sequence;
};

// Guards against both relays sending each record to the other data centres.
test('only the first relay sends the records of its data centre to others', async () => {
  const relays = await startTwo();
  mesh.network.sent.length = 0;
  const changed = changeRecord(relays);
  await advance(8000);
  const senders = mesh.network.sent
    .filter(({ from, to, method, params }) => {
      const isElsewhere = method === 'ping' && from.startsWith('1') && to.startsWith('2');
      return isElsewhere && (params.changes as unknown[]).length > 0;
    })
    .map(({ from }) => Number(from));
  assert.deepEqual([...new Set(senders)], [relays[0].port]);
  assertAll(mesh.nodes, hasChange(changed), true);
});

// Guards against records that the first relay did not send before it failed.
test('the second relay sends the records that a frozen first relay did not', async () => {
  const relays = await startTwo();
  const frozen = `${relays[0].port}`;
  // Summaries are dropped as well, since a table comparison would repair the loss.
  let isFrozen = false;
  mesh.network.decideDelivery = ({ from, to, method }) => {
    if (method === 'members.summary') return 'lose';
    if (from === frozen && to.startsWith('2')) return 'lose';
    return isFrozen && (from === frozen || to === frozen) ? 'lose' : 'deliver';
  };
  const changed = changeRecord(relays);
  await advance(4000);
  assert.equal(hasChange(changed)(relays[1]), true);
  isFrozen = true;
  await advance(12_000);
  const rest = mesh.nodes.filter(({ port }) => port !== relays[0].port);
  assertAll(rest, hasChange(changed), true);
  mesh.network.decideDelivery = () => 'deliver';
  await advance(3000);
});

// Guards against an omitted digest or hash that is read as a different one.
test('an ack omits the fields equal to the ping, and the sender restores them', async () => {
  await startTwo();
  const [first, second] = mesh.nodes as [TestNode, TestNode];
  const { nodeId, incarnation, dataCentre } = first.members.getSelf();
  const { version, digest } = first.store.getTag();
  const ping = { from: { nodeId, incarnation, dataCentre }, version, digest, tableHash: 'x' };
  const address = { host: '127.0.0.1', port: second.port };
  const answer = unwrap(
    await first.peers.request<Ping>(address, 'ping', { ...ping, changes: [] }, 500),
  );
  assert.equal(answer.digest, '');
  assert.match(answer.tableHash, /^[0-9a-f]{16}$/);
  const tags = first.members.listMembers().filter(({ record }) => record.dataCentre === dataCentre);
  assertAll(tags, ({ tag }) => tag.digest, digest);
});

// Guards against fetching tables from remote seeds in addition to that of a local seed.
test('a joining node fetches a table only from a seed of its own data centre', async () => {
  await startTwo();
  mesh.network.sent.length = 0;
  mesh.nodes.push(startTestNode(mesh, 150, 'dc-a', [200, 201, 202, 203, 100]));
  await advance(1000);
  const contactedPorts = mesh.network.sent
    .filter(({ from, method }) => from === '150' && method === 'members.summary')
    .map(({ to }) => to);
  assert.deepEqual(contactedPorts, ['100']);
});
