/** Hosts with low-bandwidth links, on which a whole configuration takes longer than a request. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type FleetRoute } from '../../standins/mesh/configuration.js';
import {
  MeshFleet,
  restartNode,
  sendToHost,
  wait,
  type FleetHost,
} from '../../standins/mesh/meshFleet.js';

/** About 60 KB, which take 0.5 s at the bandwidth of the slow hosts. */
const IDLE_ROUTES: readonly FleetRoute[] = Array.from({ length: 250 }, (_, index) => ({
  prefix: `/idle-${index}/`,
}));
const CONFIG_BYTES = 60_000;
const SLOW_LINK_MBPS = 1;

/** Time within which a version is in force after its write was acknowledged. */
const APPLY_BOUND_MS = 2500;

/** Hosts of one data centre that renew their watches every few seconds. */
const PRIMARY_WATCHERS = 3;

const POLL_INTERVAL_MS = 25;
const QUIET_MS = 1500;

function buildRoutes(index: number): readonly FleetRoute[] {
  return [...IDLE_ROUTES, { prefix: '/read/' }, { prefix: `/new-${index}/` }];
}

/**
 * Waits until a host serves the route of `buildRoutes(index)` and returns the time it took.
 * `onTry` runs before each try.
 */
async function waitUntilServed(
  host: FleetHost,
  index: number,
  onTry: (id: string) => Promise<unknown> = async () => {},
): Promise<number> {
  const startedAtMs = performance.now();
  for (let tries = 0; performance.now() - startedAtMs < 3 * APPLY_BOUND_MS; tries += 1) {
    const id = `s-${host.settings.nodeId}-${index}-${tries}`;
    await onTry(`t-${id}`);
    const { status } = await sendToHost(host, { path: `/new-${index}/`, id });
    if (status === 200) break;
    await wait(POLL_INTERVAL_MS);
  }
  return performance.now() - startedAtMs;
}

/** Starts two hosts with fast links and two with slow ones, and waits until they are at rest. */
async function withSlowHosts(
  run: (fleet: MeshFleet, slow: readonly FleetHost[]) => Promise<void>,
): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start(buildRoutes(0));
  try {
    await fleet.addHost('pads');
    await fleet.addHost('pads');
    const first = await fleet.addHost('pads', 'a', { linkMbps: SLOW_LINK_MBPS });
    const second = await fleet.addHost('pads', 'a', { linkMbps: SLOW_LINK_MBPS });
    await fleet.waitForRecords();
    await Promise.all(fleet.hosts.map((host) => waitUntilServed(host, 0)));
    await wait(QUIET_MS);
    await run(fleet, [first, second]);
  } finally {
    await fleet.close();
  }
}

function countCarried(hosts: readonly FleetHost[]): number {
  return hosts.reduce((sum, { link }) => sum + (link?.carriedBytes ?? 0), 0);
}

test('a changed route does not fill a slow link with the whole configuration', async () => {
  await withSlowHosts(async (fleet, slow) => {
    const before = countCarried(slow);
    fleet.configure(2, buildRoutes(1));
    await Promise.all(slow.map((host) => waitUntilServed(host, 1)));
    await wait(QUIET_MS);
    const carried = (countCarried(slow) - before) / slow.length;
    assert.ok(carried < CONFIG_BYTES / 2, `${carried} bytes for each host`);
  });
});

test('the last of a series of changes is in force behind a slow link in time', async () => {
  await withSlowHosts(async (fleet, slow) => {
    for (let version = 2; version <= 20; version += 1) {
      fleet.configure(version, buildRoutes(version));
      await wait(150);
    }
    const times = await Promise.all(slow.map((host) => waitUntilServed(host, 20)));
    assert.ok(Math.max(...times) <= APPLY_BOUND_MS, `${times.join(', ')} ms`);
  });
});

test('lost history does not fill a slow link with an unchanged configuration', async () => {
  await withSlowHosts(async (fleet, slow) => {
    const before = countCarried(slow);
    fleet.store.put('other', 'x', {});
    fleet.store.compactHistory();
    await wait(2 * QUIET_MS);
    const carried = (countCarried(slow) - before) / slow.length;
    assert.ok(carried < CONFIG_BYTES / 2, `${carried} bytes for each host`);
  });
});

test('many added routes do not fill a slow link', async () => {
  await withSlowHosts(async (fleet, slow) => {
    const before = countCarried(slow);
    const added = Array.from({ length: 400 }, (_, index) => ({ prefix: `/more-${index}/` }));
    fleet.configure(2, [...buildRoutes(1), ...added]);
    await Promise.all(slow.map((host) => waitUntilServed(host, 1)));
    await wait(QUIET_MS);
    const carried = (countCarried(slow) - before) / slow.length;
    assert.ok(carried < CONFIG_BYTES / 2, `${carried} bytes for each host`);
  });
});

/** Ends the nodes of the fast hosts, which are the sources, and waits until `begin` is done. */
async function replaceSources(fleet: MeshFleet, begin: () => void): Promise<void> {
  const sources = fleet.hosts.filter(({ link }) => link === undefined);
  await Promise.all(sources.map(({ node }) => node.close()));
  begin();
  await Promise.all(sources.map(restartNode));
  await Promise.all(sources.map((host) => waitUntilServed(host, 1)));
}

test('sources that restarted do not make slow hosts read the whole configuration', async () => {
  await withSlowHosts(async (fleet, slow) => {
    // The slow hosts learn of the version from calls, once the sources have no history.
    fleet.store.stallWatches();
    await replaceSources(fleet, () => fleet.configure(2, buildRoutes(1)));
    const before = countCarried(slow);
    const served = slow.map((host) =>
      waitUntilServed(host, 1, (id) => sendToHost(host, { path: '/read/', id })),
    );
    await Promise.all(served);
    const carried = (countCarried(slow) - before) / slow.length;
    assert.ok(carried < CONFIG_BYTES / 2, `${carried} bytes for each host`);
  });
});

test('a slow host that starts does not read the whole configuration from the store', async () => {
  await withSlowHosts(async (fleet, [known]) => {
    const before = countCarried([known!]);
    await known!.node.close();
    await restartNode(known!);
    const added = await fleet.addHost('pads', 'a', { linkMbps: SLOW_LINK_MBPS });
    await Promise.all([known!, added].map((host) => waitUntilServed(host, 0)));
    await wait(QUIET_MS);
    const carried = [countCarried([known!]) - before, countCarried([added])];
    assert.ok(Math.max(...carried) < CONFIG_BYTES / 2, `${carried.join(', ')} bytes`);
  });
});

test('a slow host that starts long after the last change does not read it whole', async () => {
  const fleet = new MeshFleet();
  await fleet.start(buildRoutes(0));
  try {
    for (const linkMbps of [SLOW_LINK_MBPS, SLOW_LINK_MBPS, SLOW_LINK_MBPS, undefined, undefined]) {
      await fleet.addHost('pads', 'a', { linkMbps });
    }
    await fleet.waitForRecords();
    await Promise.all(fleet.hosts.map((host) => waitUntilServed(host, 0)));
    await wait(QUIET_MS);
    fleet.store.put('other', 'x', {});
    const { calls } = fleet.store;
    const callsBefore = calls.length;
    const listRenewed = () => calls.slice(callsBefore).filter((call) => call === 'GET config');
    while (listRenewed().length < PRIMARY_WATCHERS) await wait(POLL_INTERVAL_MS);
    fleet.store.forgetHistory();
    const added = await fleet.addHost('pads', 'a', { linkMbps: SLOW_LINK_MBPS });
    await waitUntilServed(added, 0);
    await wait(QUIET_MS);
    const carried = countCarried([added]);
    assert.ok(carried < CONFIG_BYTES / 2, `${carried} bytes`);
  } finally {
    await fleet.close();
  }
});

test('a slow host that starts while its sources are gone reads the store', async () => {
  await withSlowHosts(async (fleet, [known]) => {
    for (const { node, link } of fleet.hosts) if (!link) await node.close();
    const before = countCarried([known!]);
    await known!.node.close();
    await restartNode(known!);
    const servedAfterMs = await waitUntilServed(known!, 0);
    assert.ok(servedAfterMs < 3 * APPLY_BOUND_MS, `${servedAfterMs} ms`);
    assert.ok(countCarried([known!]) - before > CONFIG_BYTES / 2);
  });
});
