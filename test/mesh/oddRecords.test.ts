/** Records of other writers among those of the nodes: they name no instance, the others hold. */
import assert from 'node:assert/strict';
import { err, ok } from 'neverthrow';
import { test } from 'node:test';
import { buildError } from '../../src/errors.js';
import { Directory } from '../../src/mesh/directory.js';
import type { EventLog } from '../../src/mesh/eventLog.js';
import { LocalInstance } from '../../src/mesh/localInstance.js';
import { NodeListener } from '../../src/mesh/nodeListener.js';
import { NODE_KIND, type PublishedNode } from '../../src/mesh/nodeRecord.js';
import { Publisher } from '../../src/mesh/publisher.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import type { MeshStore } from '../../src/mesh/store.js';
import { brandText, type RouteName } from '../../src/types/ids.js';
import { waitMs as wait } from '../../src/utils/backoff.js';
import { MeshFleet, sendToHost } from '../../standins/mesh/meshFleet.js';
import { buildNested } from '../../standins/mesh/oddValues.js';

const OWN = 'own';

function buildRecord(name: string): object {
  return {
    nodeId: name,
    incarnation: 'p',
    dataCentre: 'a',
    address: { host: '127.0.0.1', port: 9000 },
    service: 'pads',
    instanceId: `i-${name}`,
    startedAtMs: 1000,
    slots: 4,
    state: 'ready',
    linkMbps: 100,
  };
}

const ROUTE = { name: brandText<RouteName>('read'), priority: 0 };

function setUp() {
  const lines: string[] = [];
  const log: EventLog = { write: (_level, event) => lines.push(event) };
  const directory = new Directory(brandText(OWN), log, new RevisionExchange([]));
  const instance = new LocalInstance();
  const store = {} as MeshStore;
  const publisher = new Publisher(OWN, store, log, () => undefined);
  const listener = new NodeListener({
    ownId: brandText(OWN),
    instance,
    publisher,
    directory,
    log,
    onFirstProcess: () => {},
  });
  const listUsed = () =>
    directory
      .listCandidates(brandText('pads'), 'a', ROUTE, performance.now())
      .map(({ peer }) => peer.record.nodeId as string);
  return { listener, listUsed, lines, instance, directory };
}

const good = (name: string) => ({ name, revision: 5, value: { record: buildRecord(name) } });

const ODD_FIELDS: readonly (readonly [name: string, change: object])[] = [
  ['a port out of range', { address: { host: '127.0.0.1', port: 99_999 } }],
  ['a negative port', { address: { host: '127.0.0.1', port: -1 } }],
  ['port 0', { address: { host: '127.0.0.1', port: 0 } }],
  ['a port of 1e308', { address: { host: '127.0.0.1', port: 1e308 } }],
  ['an empty host', { address: { host: '', port: 9000 } }],
  ['a host that is no IP address', { address: { host: 'elsewhere.example', port: 9000 } }],
  ['an address as text', { address: '127.0.0.1:9000' }],
  ['slots of 1e308', { slots: 1e308 }],
  ['half a slot', { slots: 0.5 }],
  ['negative slots', { slots: -4 }],
  ['a bandwidth of 1e308', { linkMbps: 1e308 }],
  ['a negative bandwidth', { linkMbps: -1 }],
  ['a start time of 1e300', { startedAtMs: 1e300 }],
  ['a start time as text', { startedAtMs: '1000' }],
  ['an empty instance', { instanceId: '' }],
  ['an instance that would end the header', { instanceId: 'i-1\r\nX: y' }],
  ['an instance whose low bytes end the header', { instanceId: 'i-1\u010a' }],
  ['a nested instance', { instanceId: buildNested(6000) }],
  ['a process as number', { incarnation: 7 }],
  ['an unknown state', { state: 'sleeping' }],
  ['the identifier of another node', { nodeId: 'good-a' }],
];

for (const [title, change] of ODD_FIELDS) {
  test(`a record with ${title} is not used, and the others are`, () => {
    const { listener, listUsed, lines } = setUp();
    const value = { record: { ...buildRecord('odd'), ...change } };
    const odd = { name: 'odd', revision: 5, value };
    listener.applyList({ objects: [good('good-a'), odd, good('good-b')], revision: 9 });
    assert.deepEqual(listUsed(), ['good-a', 'good-b']);
    listener.applyEvent({ kind: 'stored', object: good('good-c') });
    assert.deepEqual(listUsed(), ['good-a', 'good-b', 'good-c']);
    assert.equal(lines.filter((line) => line === 'record-invalid').length, 1);
  });
}

test('a record that cannot be pruned by its name is not used', () => {
  const { listener, listUsed } = setUp();
  const name = '\ud800';
  listener.applyList({ objects: [good('good-a'), good(name)], revision: 9 });
  assert.deepEqual(listUsed(), ['good-a']);
});

test('an unusable record gets one log line for each of its changes', () => {
  const { listener, lines } = setUp();
  const odd = (revision: number) => ({ name: 'odd', revision, value: null });
  for (let times = 0; times < 3; times += 1) {
    listener.applyList({ objects: [odd(5)], revision: 9 });
  }
  listener.applyEvent({ kind: 'stored', object: odd(10) });
  assert.equal(lines.filter((line) => line === 'record-invalid').length, 2);
});

test('a node whose record becomes unusable counts as unlisted', () => {
  const { listener, directory } = setUp();
  listener.applyList({ objects: [good('a'), good('b')], revision: 9 });
  const odd = (name: string) => ({ name, revision: 10, value: { record: buildNested(6000) } });
  listener.applyEvent({ kind: 'stored', object: odd('a') });
  const listListed = () =>
    directory.listResponding(performance.now()).map(({ record }) => record.nodeId as string);
  assert.deepEqual(listListed(), ['b']);
  listener.applyList({ objects: [odd('a'), odd('b')], revision: 11 });
  assert.deepEqual(listListed(), []);
});

test('a nested value in the record of the own node does not stop the watch', () => {
  const { listener, listUsed } = setUp();
  const record = { ...buildRecord(OWN), extra: buildNested(6000) };
  const left = { instanceId: 'i-0', startedAtMs: 1, sequence: 1, extra: buildNested(6000) };
  const own = { name: OWN, revision: 5, value: { record, left, extra: buildNested(6000) } };
  listener.applyList({ objects: [own, good('good-a')], revision: 9 });
  assert.deepEqual(listUsed(), ['good-a']);
});

test('a departure in the far future does not keep the own instance from serving', () => {
  const { listener, instance } = setUp();
  const left = { instanceId: 'i-1', startedAtMs: 1e300, sequence: 1 };
  const own = { name: OWN, revision: 5, value: { record: buildRecord(OWN), left } };
  listener.applyList({ objects: [own], revision: 9 });
  instance.applyHeartbeat({
    instanceId: brandText('i-1'),
    service: brandText('pads'),
    address: { host: '127.0.0.1', port: 1 },
    state: 'ready',
    slots: 4,
    warmupMs: 0,
    sequence: 1,
    startedAtMs: 1700,
  });
  assert.equal(instance.getState().kind, 'ready');
});

test('the own record is written again after a nested value has replaced it', async () => {
  const written: number[] = [];
  const store = {
    create: async () => err(buildError('conflict', 'store.create', 'store', 'status 409')),
    read: async () => ok({ name: OWN, revision: 7, value: { record: buildNested(6000) } }),
    replace: async (_kind: string, name: string, value: unknown, revision: number) => {
      written.push(revision);
      return ok({ name, revision: 8, value });
    },
    era: { get: () => 1 },
  } as unknown as MeshStore;
  const desired = { record: buildRecord(OWN) } as PublishedNode;
  const publisher = new Publisher(OWN, store, { write: () => {} }, () => desired);
  await Promise.race([publisher.sync(), wait(5000)]);
  assert.deepEqual(written, [7]);
});

test('records that name the address or the instance of another node cost no request', async () => {
  const fleet = new MeshFleet();
  await fleet.start([{ prefix: '/read/' }]);
  try {
    const caller = await fleet.addHost('guide');
    const host = await fleet.addHost('pads');
    await fleet.waitForRecords();
    const { nodeId, ports } = host.settings;
    const stored = fleet.store.get(NODE_KIND, nodeId) as PublishedNode;
    const sameInstance = { ...stored.record, nodeId: 'same-instance' };
    const sameAddress = { ...buildRecord('same-address'), address: ports.peers };
    fleet.store.put(NODE_KIND, 'same-instance', { record: sameInstance });
    fleet.store.put(NODE_KIND, 'same-address', { record: sameAddress });
    fleet.store.put(NODE_KIND, 'same-node', stored);
    await fleet.waitForRecords();
    for (let index = 0; index < 60; index += 1) {
      const response = await sendToHost(caller, { path: '/read/', id: `q-${index}` });
      assert.equal(response.status, 200);
    }
    assert.equal(new Set(host.instance.runs.map(({ requestId }) => requestId)).size, 60);
    assert.equal(host.instance.runs.length, 60);
  } finally {
    await fleet.close();
  }
});
