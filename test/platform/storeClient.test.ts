/** The protocol of the store and its faults, tested against the stand-in. */
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';
import type { MeshStore } from '../../src/mesh/store.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { createStoreClient } from '../../platform/storeClient.js';
import { formatNested, RawJson } from '../../standins/mesh/oddValues.js';
import { SlowLink } from '../../standins/mesh/slowLink.js';
import { StoreServer, type StoreFault } from '../../standins/mesh/storeServer.js';
import { closeServer, openServer } from '../../standins/http.js';

const TODO = { todo: 'KNOWN-RED' };

async function withStore(
  run: (store: MeshStore, server: StoreServer) => Promise<void>,
): Promise<void> {
  const server = new StoreServer();
  const port = await server.listen();
  const store = createStoreClient(() => ({ host: '127.0.0.1', port }));
  try {
    await run(store, server);
  } finally {
    store.close();
    await server.close();
  }
}

// Listed in KNOWN-RED.txt: failed once on a heavily loaded host.
test('objects are created, read, replaced on a condition, and removed', TODO, async () => {
  await withStore(async (store) => {
    const created = (await store.create('nodes', 'a b', { x: 1 }))._unsafeUnwrap();
    assert.deepEqual(created.value, { x: 1 });
    const again = await store.create('nodes', 'a b', { x: 2 });
    assert.equal(again._unsafeUnwrapErr().kind, 'conflict');
    const replaced = await store.replace('nodes', 'a b', { x: 3 }, created.revision);
    assert.ok(replaced._unsafeUnwrap().revision > created.revision);
    const late = await store.replace('nodes', 'a b', { x: 4 }, created.revision);
    assert.equal(late._unsafeUnwrapErr().kind, 'conflict');
    const read = (await store.read('nodes', 'a b'))._unsafeUnwrap();
    assert.deepEqual(read.value, { x: 3 });
    const early = await store.remove('nodes', 'a b', created.revision);
    assert.equal(early._unsafeUnwrapErr().kind, 'conflict');
    assert.ok((await store.remove('nodes', 'a b', read.revision)).isOk());
    assert.equal((await store.read('nodes', 'a b'))._unsafeUnwrapErr().kind, 'not-found');
  });
});

test('a list is read from all its pages', async () => {
  await withStore(async (store, server) => {
    const names = Array.from({ length: 25 }, (_, index) => `n-${String(index).padStart(2, '0')}`);
    for (const name of names) server.put('nodes', name, {});
    Object.assign(server, { pageSize: 10 });
    const listed = (await store.list('nodes'))._unsafeUnwrap();
    assert.deepEqual(
      listed.objects.map(({ name }) => name),
      names,
    );
  });
});

test('a watch waits for and returns changes and removals after a revision', async () => {
  await withStore(async (store, server) => {
    const from = server.put('nodes', 'a', { x: 1 });
    const waiting = store.watch('nodes', from, 1000);
    setTimeout(() => {
      server.put('other', 'z', {});
      server.put('nodes', 'b', { x: 2 });
    }, 30);
    const { events, revision } = (await waiting)._unsafeUnwrap();
    assert.equal(events.length, 1);
    assert.equal(events[0]?.kind === 'stored' && events[0].object.name, 'b');
    server.removeObject('nodes', 'b');
    const removed = (await store.watch('nodes', revision, 1000))._unsafeUnwrap();
    assert.equal(removed.events[0]?.kind === 'removed' && removed.events[0].name, 'b');
  });
});

test('a watch without changes ends after its wait', async () => {
  await withStore(async (store, server) => {
    const from = server.put('nodes', 'a', {});
    const { events } = (await store.watch('nodes', from, 50))._unsafeUnwrap();
    assert.deepEqual(events, []);
  });
});

test('a watch from a compacted revision fails as stale', async () => {
  await withStore(async (store, server) => {
    const from = server.put('nodes', 'a', {});
    server.put('nodes', 'b', {});
    server.compactHistory();
    assert.equal((await store.watch('nodes', from, 50))._unsafeUnwrapErr().kind, 'stale');
  });
});

test('a long list over a slow link is read completely', async () => {
  await withStore(async (store, server) => {
    server.put('nodes', 'a', { text: 'x'.repeat(1000) });
    server.setFault({ kind: 'slow-link', chunkCount: 6, chunkIntervalMs: 300 });
    const listed = (await store.list('nodes'))._unsafeUnwrap();
    assert.deepEqual(listed.objects[0]?.value, { text: 'x'.repeat(1000) });
  });
});

test('a watch ends when its wait is cancelled', async () => {
  await withStore(async (store, server) => {
    const from = server.put('nodes', 'a', {});
    const cancellation = new Cancellation();
    setTimeout(() => cancellation.cancel(), 100);
    const startedAtMs = performance.now();
    const watched = await store.watch('nodes', from, 20_000, { cancellation });
    assert.equal(watched._unsafeUnwrapErr().step, 'store.watch');
    assert.ok(performance.now() - startedAtMs < 1000);
  });
});

test('a watch whose response is under way over a slow link is not cancelled', async () => {
  const server = new StoreServer();
  const link = new SlowLink(await server.listen(), 50_000);
  const port = await link.listen();
  const store = createStoreClient(() => ({ host: '127.0.0.1', port }));
  try {
    const from = server.put('config', 'main', {});
    server.put('config', 'main', { text: 'x'.repeat(30_000) });
    const cancellation = new Cancellation();
    setTimeout(() => cancellation.cancel(), 200);
    const watched = await store.watch('config', from, 20_000, { cancellation });
    assert.equal(watched._unsafeUnwrap().events.length, 1);
  } finally {
    store.close();
    await link.close();
    await server.close();
  }
});

const ODD_OBJECTS: readonly (readonly [title: string, object: unknown])[] = [
  ['null', null],
  ['a number', 7],
  ['a list', []],
  ['an object without metadata', { Spec: {} }],
  ['a deeply nested object', formatNested(100_000)],
  ['deeply nested metadata', { Metadata: formatNested(100_000), Spec: {} }],
  ['a nested name', { Metadata: { Name: formatNested(100_000), Revision: 3 }, Spec: {} }],
  ['an empty name', { Metadata: { Name: '', Revision: 3 }, Spec: {} }],
  ['a name that no URL can hold', { Metadata: { Name: 'n-\ud800', Revision: 3 }, Spec: {} }],
  ['a revision of 1e308', { Metadata: { Name: 'n', Revision: new RawJson('1e308') }, Spec: {} }],
  ['a revision of 1e999', { Metadata: { Name: 'n', Revision: new RawJson('1e999') }, Spec: {} }],
  ['a fraction as revision', { Metadata: { Name: 'n', Revision: 2.5 }, Spec: {} }],
  ['a negative revision', { Metadata: { Name: 'n', Revision: -2 }, Spec: {} }],
];
for (const [title, object] of ODD_OBJECTS) {
  test(`${title} in a list and in a watch does not hide the other objects`, async () => {
    await withStore(async (store, server) => {
      const from = server.put('nodes', 'a', {});
      server.putReplaced('nodes', 'b', object);
      server.put('nodes', 'c', {});
      Object.assign(server, { pageSize: 2 });
      const listed = (await store.list('nodes'))._unsafeUnwrap();
      assert.deepEqual(
        listed.objects.map(({ name }) => name),
        ['a', 'c'],
      );
      assert.ok(listed.invalid!.length > 0);
      const { events, invalid, revision } = (
        await store.watch('nodes', from, 1000)
      )._unsafeUnwrap();
      assert.deepEqual(
        events.map((event) => event.kind === 'stored' && event.object.name),
        ['c'],
      );
      assert.equal(invalid!.length, 1);
      assert.equal(revision, from + 2);
    });
  });
}

test('a single object that cannot be decoded is an error and not an exception', async () => {
  await withStore(async (store, server) => {
    server.putReplaced('nodes', 'b', formatNested(100_000));
    assert.equal((await store.read('nodes', 'b'))._unsafeUnwrapErr().step, 'store.read');
  });
});

const FAULTS: readonly { readonly fault: StoreFault; readonly kind: string }[] = [
  { fault: { kind: 'refuse', status: 429 }, kind: 'busy' },
  { fault: { kind: 'refuse', status: 503 }, kind: 'busy' },
  { fault: { kind: 'reset' }, kind: 'answer-lost' },
  { fault: { kind: 'silent' }, kind: 'answer-lost' },
  { fault: { kind: 'lose-answers' }, kind: 'answer-lost' },
];
for (const { fault, kind } of FAULTS) {
  test(`a write to a store with the fault ${JSON.stringify(fault)} fails as ${kind}`, async () => {
    await withStore(async (store, server) => {
      server.setFault(fault);
      const failed = await store.create('nodes', 'a', {});
      const error = failed._unsafeUnwrapErr();
      assert.equal(error.kind, kind);
      assert.equal(error.step, 'store.create');
      server.setFault({ kind: 'none' });
      const read = await store.read('nodes', 'a');
      assert.equal(read.isOk(), fault.kind === 'lose-answers');
    });
  });
}

test('a slow store is read by the second call, a fast one has a short timeout', async () => {
  await withStore(async (store, server) => {
    server.put('nodes', 'a', { x: 1 });
    server.setFault({ kind: 'slow', delayMs: 1400 });
    assert.equal((await store.read('nodes', 'a'))._unsafeUnwrapErr().kind, 'answer-lost');
    assert.ok((await store.read('nodes', 'a')).isOk());
    assert.ok((await store.list('nodes')).isOk());
    server.setFault({ kind: 'none' });
    assert.ok((await store.read('nodes', 'a')).isOk());
    server.setFault({ kind: 'silent' });
    const startedAtMs = performance.now();
    assert.ok((await store.read('nodes', 'a')).isErr());
    assert.ok(performance.now() - startedAtMs < 1500, 'the shorter timeout holds again');
  });
});

test('the error for a malformed response does not quote it, since it may hold keys', async () => {
  const server = createServer((_request, response) => {
    response.end('{"Metadata":{"Name":"main"},"Spec":{"ApiKeys":["s3cr3t" x]}}');
  });
  const port = await openServer(server, '127.0.0.1', 0);
  const store = createStoreClient(() => ({ host: '127.0.0.1', port }));
  const error = (await store.read('config', 'main'))._unsafeUnwrapErr();
  store.close();
  await closeServer(server);
  assert.equal(error.kind, 'invalid');
  assert.doesNotMatch(`${error.message} ${String(error.cause)}`, /3cr3t/);
});
