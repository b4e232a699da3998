/**
 * Watches: selection of primary watchers, detection of dead store connections, and the number of
 * calls to the store.
 */
import assert from 'node:assert/strict';
import { err, ok } from 'neverthrow';
import { test } from 'node:test';
import { buildError } from '../../src/errors.js';
import { computeMaxUnconfirmedMs } from '../../src/mesh/confirmations.js';
import type { SourceNode } from '../../src/mesh/configSources.js';
import { chooseWatchRole } from '../../src/mesh/followedSources.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import { KindPosition } from '../../src/mesh/kindPosition.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import type { MeshStore, StoreChanges, StoreList } from '../../src/mesh/store.js';
import { StoreEra } from '../../src/mesh/storeEra.js';
import { watchKind } from '../../src/mesh/watchKind.js';
import {
  chooseChangePauseMs,
  chooseWatchWaitMs,
  listPrimaryWatchers,
  type WatchingNode,
} from '../../src/mesh/primaryWatchers.js';
import { brandText } from '../../src/types/ids.js';
import { MeshFleet, sendToHost, SILENCE_LIMIT_MS, wait } from '../../standins/mesh/meshFleet.js';

const MAX_UNCONFIRMED_MS = computeMaxUnconfirmedMs(SILENCE_LIMIT_MS);

function buildNodes(counts: Readonly<Record<string, number>>): SourceNode[] {
  return Object.entries(counts).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, index) => ({
      nodeId: brandText<WatchingNode['nodeId']>(`${dataCentre}-${index}`),
      dataCentre: brandText<WatchingNode['dataCentre']>(dataCentre),
      linkMbps: 0,
    })),
  );
}

test('each data centre has one primary watcher, and the fleet has at least three', () => {
  assert.deepEqual([...listPrimaryWatchers(buildNodes({ a: 4, b: 4, c: 4, d: 4 }))].sort(), [
    'a-0',
    'b-0',
    'c-0',
    'd-0',
  ]);
  assert.equal(listPrimaryWatchers(buildNodes({ a: 9 })).size, 3);
});

test('the hosts with the fastest links are primary watchers', () => {
  const nodes = buildNodes({ a: 3, b: 3, c: 3 }).map((node) => ({
    ...node,
    linkMbps: node.nodeId.endsWith('2') ? 100 : 5,
  }));
  assert.deepEqual([...listPrimaryWatchers(nodes)].sort(), ['a-2', 'b-2', 'c-2']);
});

test('a fleet of 85 nodes renews its watches less than five times per second', () => {
  const nodes = buildNodes({ a: 22, b: 21, c: 21, d: 21 });
  const perSecond = nodes
    .map((node) => {
      const { kind } = chooseWatchRole(node, nodes);
      if (kind === 'follower') return 0;
      return 1000 / chooseWatchWaitMs(node.nodeId, nodes, kind, MAX_UNCONFIRMED_MS);
    })
    .reduce((sum, rate) => sum + rate, 0);
  assert.ok(perSecond < 5, `${perSecond} calls/s`);
  const smallFleet = buildNodes({ a: 2 });
  const chooseWaitMs = ({ nodeId }: WatchingNode) =>
    chooseWatchWaitMs(nodeId, smallFleet, 'independent', MAX_UNCONFIRMED_MS);
  assert.ok(smallFleet.every((node) => chooseWaitMs(node) < SILENCE_LIMIT_MS));
});

test('a fleet in which instances are replaced makes less than 100 watch calls per second', () => {
  for (const nodeCount of [3, 12, 24, 72, 85]) {
    const perSecond = (nodeCount * 1000) / chooseChangePauseMs(nodeCount);
    assert.ok(perSecond < 100, `${perSecond} calls/s with ${nodeCount} nodes`);
  }
});

/** Creates a store whose watches either never respond or return a change each time. */
function createStore(isSilent: boolean): Pick<MeshStore, 'list' | 'watch'> & {
  lists: number;
  watches: number;
} {
  return {
    lists: 0,
    watches: 0,
    async list() {
      this.lists += 1;
      const revision = this.lists * 10;
      const objects = [{ name: 'main', revision, value: this.lists }];
      return ok<StoreList>({ objects, revision: revision + 2 });
    },
    async watch(_kind, revision, _waitMs, { cancellation } = {}) {
      this.watches += 1;
      if (isSilent) {
        await new Promise<void>((resolve) => {
          cancellation?.onCancel(resolve);
        });
        return err(buildError('answer-lost', 'store.watch', 'store', 'cancelled'));
      }
      const object = { name: 'main', revision: revision + 1, value: 0 };
      return ok<StoreChanges>({ events: [{ kind: 'stored', object }], revision: revision + 1 });
    },
  };
}

async function runWatch(
  isSilent: boolean,
  run: (position: KindPosition, store: ReturnType<typeof createStore>) => Promise<void>,
  era = new StoreEra(),
) {
  const store = createStore(isSilent);
  const position = new KindPosition(era);
  let isStopped = false;
  const values: unknown[] = [];
  const ended = watchKind({
    store,
    kind: 'config',
    listener: {
      applyList: ({ objects }) => values.push(...objects.map(({ value }) => value)),
      applyEvent: () => {},
    },
    position,
    log: SILENT_LOG,
    getWaitMs: () => 25_000,
    getPauseMs: () => chooseChangePauseMs(12),
    isStopped: () => isStopped,
  });
  await wait(20);
  await run(position, store);
  isStopped = true;
  position.endWait();
  await ended;
  return { store, values };
}

test('changes in short succession share one watch call', async () => {
  const { store } = await runWatch(false, () => wait(1000));
  assert.ok(store.watches <= 5, `${store.watches} watches in a second`);
});

test('a node lists again only when another node reports a higher revision', async () => {
  const { store } = await runWatch(true, async (position) => {
    const exchange = new RevisionExchange([position]);
    exchange.apply('12');
    exchange.apply('no.number');
    await wait(600);
  });
  assert.equal(store.lists, 1);
  const { store: behind } = await runWatch(true, async (position) => {
    new RevisionExchange([position]).apply('13');
    await wait(600);
  });
  assert.equal(behind.lists, 2);
});

test('a node that hears of a new era from another node lists again', async () => {
  const era = new StoreEra();
  const listAgain = async (position: KindPosition, store: ReturnType<typeof createStore>) => {
    const exchange = new RevisionExchange([position], era);
    exchange.apply('9.1');
    await wait(50);
    assert.equal(store.lists, 2);
    exchange.apply('99.0');
    await wait(600);
    assert.equal(store.lists, 2, 'a revision of an era that is over');
    assert.equal(exchange.format(), '20.1');
  };
  await runWatch(true, listAgain, era);
});

test('an object that cannot be decoded is logged once, and the watch goes on', async () => {
  const lines: string[] = [];
  const error = buildError('invalid', 'store.watch', 'store', 'Metadata must be an object');
  const invalid = [{ name: 'odd', error }];
  let calls = 0;
  await watchKind({
    store: {
      list: async () => ok<StoreList>({ objects: [], invalid, revision: 4 }),
      watch: async () => {
        calls += 1;
        return ok<StoreChanges>({ events: [], invalid, revision: 4 + calls });
      },
    },
    kind: 'nodes',
    listener: { applyList: () => {}, applyEvent: () => {} },
    position: new KindPosition(),
    log: { write: (_level, event, fields) => lines.push(`${event} ${fields?.peer}`) },
    getWaitMs: () => 25_000,
    getPauseMs: () => 0,
    isStopped: () => calls === 3,
  });
  assert.deepEqual(lines, ['object-invalid odd']);
});

test('a change that arrives long after its wait is no young evidence', async () => {
  const waitMs = 50;
  const lateMs = 400;
  const position = new KindPosition();
  let ageMs: number | undefined;
  await watchKind({
    store: {
      list: async () => ok<StoreList>({ objects: [], revision: 4 }),
      watch: async () => {
        await wait(waitMs + lateMs);
        const object = { name: 'main', revision: 5, value: 0 };
        return ok<StoreChanges>({ events: [{ kind: 'stored', object }], revision: 5 });
      },
    },
    kind: 'config',
    listener: {
      applyList: () => {},
      applyEvent: () => {
        ageMs = position.getUnconfirmedMs(performance.now());
      },
    },
    position,
    log: SILENT_LOG,
    getWaitMs: () => waitMs,
    getPauseMs: () => 0,
    isStopped: () => ageMs !== undefined,
  });
  assert.ok(ageMs !== undefined && ageMs >= lateMs - 1, `evidence is ${ageMs} ms old`);
});

test('a version that a source confirms is not reported to other nodes as a change', async () => {
  const position = new KindPosition();
  const lists: number[] = [];
  let isStopped = false;
  const ended = watchKind({
    store: {
      async list() {
        lists.push(4);
        return ok<StoreList>({ objects: [{ name: 'main', revision: 4, value: 0 }], revision: 6 });
      },
      async watch(_kind, revision, _waitMs, { cancellation } = {}) {
        if (revision < 50) return err(buildError('stale', 'store.watch', 'store', 'status 410'));
        await new Promise<void>((resolve) => {
          cancellation?.onCancel(resolve);
        });
        return err(buildError('answer-lost', 'store.watch', 'store', 'cancelled'));
      },
    },
    kind: 'config',
    listener: { applyList: () => {}, applyEvent: () => {} },
    position,
    log: SILENT_LOG,
    getWaitMs: () => 25_000,
    getPauseMs: () => 0,
    isStopped: () => isStopped,
    source: {
      getMaxBytes: () => undefined,
      fetch: async () => 50,
      fetchFirst: async () => undefined,
    },
  });
  await wait(50);
  assert.equal(position.getLatestChange(), 4);
  assert.equal(position.getSyncedRevision(), 50);
  assert.equal(lists.length, 1);
  isStopped = true;
  position.endWait();
  await ended;
});

test('a node whose store connection is dead receives a new configuration version', async () => {
  const fleet = new MeshFleet();
  const routes = [{ prefix: '/read/' }];
  await fleet.start(routes);
  try {
    for (const service of ['pads', 'pads', 'pads', 'guide']) await fleet.addHost(service);
    await fleet.waitForRecords();
    await wait(4000);
    fleet.store.stallWatches();
    fleet.configure(9, [...routes, { prefix: '/new/' }]);
    const last = fleet.hosts.at(-1)!;
    let status = 0;
    for (let tries = 0; tries < 90 && status !== 200; tries += 1) {
      await wait(100);
      await sendToHost(last, { path: '/read/', id: `k-${tries}` });
      status = (await sendToHost(last, { path: '/new/', id: `n-${tries}` })).status;
    }
    assert.equal(status, 200);
  } finally {
    await fleet.close();
  }
});
