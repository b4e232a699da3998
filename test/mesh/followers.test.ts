/**
 * A data centre with many nodes: its sources read the store, the others get changes from them, and
 * read the store themselves when their sources fail.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CONFIG_KIND } from '../../platform/names.js';
import { NODE_KIND } from '../../src/mesh/nodeRecord.js';
import {
  MeshFleet,
  sendToHost,
  SILENCE_LIMIT_MS,
  updateHost,
  wait,
  type FleetHost,
} from '../../standins/mesh/meshFleet.js';
import { formatNested } from '../../standins/mesh/oddValues.js';
import { ROUTES } from './withFleet.js';

const HOST_COUNT = 12;

/** Time within which a version is in force after its write was acknowledged. */
const APPLY_BOUND_MS = 2000;

/** Covers the start of all hosts and one poll of a source. */
const SETTLE_MS = 2500;

const POLL_INTERVAL_MS = 25;

/** Bandwidth of the two hosts that are the sources. */
const SOURCE_LINK_MBPS = 2000;

/** Time that a slow store takes for a response. */
const SLOW_MS = 1400;

/** Changes of the configuration while the store is slow, one in each of these times. */
const SLOW_CHANGES = 6;

/** Hosts that may ask a slow store, one call at a time for each kind: two sources, two others. */
const ASKING_HOSTS = 4;

const KINDS = 2;

/** Hosts that read the store in place of two sources, and the interval of their calls. */
const REPLACING_HOSTS = 2;
const RENEWAL_MS = 1500;

/** Depth that a parser takes and an encoder does not. */
const NESTED_DEPTH = 10_000;

interface LargeFleet {
  readonly fleet: MeshFleet;
  readonly sources: readonly FleetHost[];
  readonly followers: readonly FleetHost[];
}

async function withLargeFleet(
  run: (large: LargeFleet) => Promise<void>,
  hostCount = HOST_COUNT,
): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start(ROUTES);
  try {
    for (let index = 0; index < hostCount; index += 1) {
      const linkMbps = index < 2 ? SOURCE_LINK_MBPS : undefined;
      const options = linkMbps === undefined ? {} : { linkMbps, hasOwnProxy: true };
      await fleet.addHost('pads', 'a', options);
    }
    await fleet.waitForRecords();
    await wait(SETTLE_MS);
    await run({ fleet, sources: fleet.hosts.slice(0, 2), followers: fleet.hosts.slice(2) });
  } finally {
    await fleet.close();
  }
}

function configureRoute(fleet: MeshFleet, index: number): void {
  fleet.configure(index + 1, [...ROUTES, { prefix: `/new-${index}/` }]);
}

/** Returns the time after which a host serves the route of `configureRoute(fleet, index)`. */
async function measureApplyMs(host: FleetHost, index: number): Promise<number> {
  const startedAtMs = performance.now();
  for (let tries = 0; performance.now() - startedAtMs < 3 * APPLY_BOUND_MS; tries += 1) {
    const id = `a-${host.settings.nodeId}-${index}-${tries}`;
    const { status } = await sendToHost(host, { path: `/new-${index}/`, id });
    if (status === 200) break;
    await wait(POLL_INTERVAL_MS);
  }
  return performance.now() - startedAtMs;
}

async function assertApplied(hosts: readonly FleetHost[], index: number): Promise<void> {
  const times = await Promise.all(hosts.map((host) => measureApplyMs(host, index)));
  assert.ok(Math.max(...times) <= APPLY_BOUND_MS, `${times.map(Math.round).join(', ')} ms`);
}

/** Asserts that the hosts serve the route of `configureRoute(fleet, index)` by now. */
async function assertInForce(hosts: readonly FleetHost[], index: number): Promise<void> {
  const path = `/new-${index}/`;
  const ask = (host: FleetHost) => sendToHost(host, { path, id: `f-${host.settings.nodeId}` });
  const responses = await Promise.all(hosts.map(ask));
  assert.deepEqual([...new Set(responses.map(({ status }) => status))], [200]);
}

function countCalls({ store }: MeshFleet, kind: string): number {
  return store.calls.filter((call) => call === `GET ${kind}`).length;
}

test('the calls of a change do not grow with the fleet', async () => {
  await withLargeFleet(async ({ fleet }) => {
    const configCalls = countCalls(fleet, CONFIG_KIND);
    for (const index of [1, 2, 3]) {
      configureRoute(fleet, index);
      await assertApplied(fleet.hosts, index);
    }
    const callsOfChanges = countCalls(fleet, CONFIG_KIND) - configCalls;
    assert.ok(callsOfChanges <= HOST_COUNT, `${callsOfChanges} calls for three versions`);
    const nodeCalls = countCalls(fleet, NODE_KIND);
    updateHost(fleet.hosts[5]!, { slots: 7 });
    await wait(SETTLE_MS);
    const callsOfRecord = countCalls(fleet, NODE_KIND) - nodeCalls;
    assert.ok(callsOfRecord <= HOST_COUNT / 2, `${callsOfRecord} calls for a record`);
  });
});

test('followers know an instance that joins, and one that leaves', async () => {
  await withLargeFleet(async ({ fleet, followers }) => {
    const joined = await fleet.addHost('books');
    await fleet.waitForRecords();
    fleet.configure(2, [...ROUTES, { prefix: '/books/', service: 'books' }]);
    await wait(SETTLE_MS);
    const ask = (id: string) =>
      Promise.all(
        followers.map((host, index) => sendToHost(host, { path: '/books/', id: `${id}-${index}` })),
      );
    for (const { status } of await ask('joined')) assert.equal(status, 200);
    updateHost(joined, { state: 'draining' });
    await wait(SETTLE_MS);
    for (const { status } of await ask('left')) assert.equal(status, 503);
  });
});

test('a change is in force in time when a source was killed', async () => {
  await withLargeFleet(async ({ fleet, sources: [killed, kept], followers }) => {
    await killed!.node.close();
    configureRoute(fleet, 1);
    await assertApplied([kept!, ...followers], 1);
  });
});

test('a change is in force in time while a source stops as planned', async () => {
  await withLargeFleet(async ({ fleet, sources: [stopped, kept], followers }) => {
    const hasStopped = stopped!.node.stop();
    configureRoute(fleet, 1);
    await assertApplied([kept!, ...followers], 1);
    await hasStopped;
  });
});

test('a change is in force in time when both sources have lost the store', async () => {
  await withLargeFleet(async ({ fleet, sources, followers }) => {
    for (const { link } of sources) await link!.close();
    await wait(SETTLE_MS);
    configureRoute(fleet, 1);
    await assertApplied(followers, 1);
  });
});

test('followers stay with the hosts that replace sources without the store', async () => {
  await withLargeFleet(async ({ fleet, sources, followers }) => {
    for (const { link } of sources) await link!.close();
    await wait(SETTLE_MS);
    const calls = fleet.store.calls.length;
    const startedAtMs = performance.now();
    const changes = 4;
    for (let index = 1; index <= changes; index += 1) {
      configureRoute(fleet, index);
      await assertApplied(followers, index);
      await wait(SETTLE_MS / 2);
    }
    const laterCalls = fleet.store.calls.length - calls;
    const renewals = Math.ceil((performance.now() - startedAtMs) / RENEWAL_MS);
    const mostCalls = REPLACING_HOSTS * KINDS * (renewals + changes);
    assert.ok(laterCalls <= mostCalls, `${laterCalls} calls, at most ${mostCalls}`);
  });
});

test('a source that has lost the store gets the changes from the other one', async () => {
  await withLargeFleet(async ({ fleet, sources: [lost] }) => {
    await lost!.link!.close();
    await wait(SETTLE_MS);
    configureRoute(fleet, 1);
    await assertApplied(fleet.hosts, 1);
  });
});

test('a change is in force in time when the connections of the sources are half-open', async () => {
  await withLargeFleet(async ({ fleet, followers }) => {
    fleet.store.stallWatches();
    configureRoute(fleet, 1);
    const startedAtMs = performance.now();
    const times = await Promise.all(followers.map((host) => measureApplyMs(host, 1)));
    assert.ok(
      performance.now() - startedAtMs <= SILENCE_LIMIT_MS,
      `${times.map(Math.round).join()} ms`,
    );
  });
});

test('a change is in force in time when a source has just lost its link to the store', async () => {
  await withLargeFleet(async ({ fleet, sources: [cut, kept], followers }) => {
    cut!.proxy!.setFault({ kind: 'one-way' });
    configureRoute(fleet, 1);
    await assertApplied([kept!, ...followers], 1);
  });
});

test('a record that is nested too deeply does not end the sources that pass it on', async () => {
  await withLargeFleet(async ({ fleet, followers }) => {
    fleet.store.put(NODE_KIND, 'odd', formatNested(NESTED_DEPTH));
    await wait(SETTLE_MS / 2);
    const joined = await fleet.addHost('books');
    await fleet.waitForRecords();
    fleet.configure(2, [...ROUTES, { prefix: '/books/', service: 'books' }]);
    await wait(SETTLE_MS);
    const id = joined.settings.nodeId;
    const ask = (host: FleetHost, index: number) =>
      sendToHost(host, { path: '/books/', id: `${id}-${index}` });
    for (const { status } of await Promise.all(followers.map(ask))) assert.equal(status, 200);
  });
});

test('a slow store is asked by few hosts, and read whole by fewer', async () => {
  await withLargeFleet(async ({ fleet, followers }) => {
    fleet.store.setFault({ kind: 'slow', delayMs: SLOW_MS });
    const [calls, lists] = [fleet.store.calls.length, fleet.store.listCount];
    for (let index = 1; index <= SLOW_CHANGES; index += 1) {
      configureRoute(fleet, index);
      await wait(SLOW_MS);
    }
    const slowCalls = fleet.store.calls.length - calls;
    const mostCalls = ASKING_HOSTS * KINDS * SLOW_CHANGES;
    assert.ok(slowCalls <= mostCalls, `${slowCalls} calls, at most ${mostCalls}`);
    fleet.store.setFault({ kind: 'none' });
    await wait(SILENCE_LIMIT_MS);
    await assertInForce(followers, SLOW_CHANGES);
    const slowLists = fleet.store.listCount - lists;
    assert.ok(slowLists <= ASKING_HOSTS, `${slowLists} lists`);
  }, 2 * HOST_COUNT);
});

test('followers take part in a new era of the store', async () => {
  await withLargeFleet(async ({ fleet, followers }) => {
    const copy = fleet.store.copyState();
    configureRoute(fleet, 1);
    await assertApplied(followers, 1);
    fleet.store.restoreState(copy);
    await wait(SETTLE_MS);
    configureRoute(fleet, 2);
    await assertApplied(followers, 2);
  });
});
