/**
 * Guards against a request to an instance whose departure an earlier process acknowledged and could
 * not store: a heartbeat that was sent before arrives late, at the next process.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  deregister,
  restartNode,
  sendHeartbeat,
  sendToHost,
  updateHost,
  wait,
  type FleetHost,
  type MeshFleet,
} from '../../standins/mesh/meshFleet.js';
import type { InstanceServer } from '../../standins/mesh/instanceServer.js';
import type { StoreFault } from '../../standins/mesh/storeServer.js';
import { withFleet } from './withFleet.js';

/** Time after the return of the store in which all nodes have read and published what they will. */
const STORE_SETTLE_MS = 1800;

const REQUEST_COUNT = 20;
const REQUEST_INTERVAL_MS = 20;

interface DepartureCase {
  readonly announce: 'deregistration' | 'draining';
  readonly end: 'stop' | 'kill';
  readonly fault: StoreFault;
  /** Heartbeats that arrive late and together. */
  readonly lateHeartbeats: number;
  /** What a health check of the instance says after it has announced that it leaves. */
  readonly health: InstanceServer['health'];
}

const REFUSE: StoreFault = { kind: 'refuse', status: 503 };
const SILENT: StoreFault = { kind: 'silent' };

const CASES: readonly DepartureCase[] = [
  { announce: 'deregistration', end: 'stop', fault: REFUSE, lateHeartbeats: 1, health: 'bad' },
  { announce: 'deregistration', end: 'kill', fault: REFUSE, lateHeartbeats: 1, health: 'bad' },
  { announce: 'deregistration', end: 'kill', fault: SILENT, lateHeartbeats: 4, health: undefined },
  { announce: 'draining', end: 'stop', fault: SILENT, lateHeartbeats: 1, health: 'bad' },
  { announce: 'draining', end: 'kill', fault: REFUSE, lateHeartbeats: 4, health: undefined },
];

async function announceDeparture(host: FleetHost, announce: DepartureCase['announce']) {
  if (announce === 'deregistration') return deregister(host);
  updateHost(host, { state: 'draining' });
  return sendHeartbeat(host);
}

async function sendBookings(entry: FleetHost, prefix: string): Promise<number> {
  let served = 0;
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    const { status } = await sendToHost(entry, { path: '/book/', id: `${prefix}-${index}` });
    if (status === 200) served += 1;
    await wait(REQUEST_INTERVAL_MS);
  }
  return served;
}

async function startHosts(fleet: MeshFleet) {
  const entry = await fleet.addHost('guide');
  const leaving = await fleet.addHost('pads');
  await fleet.waitForInstances('/read/', ['i-1']);
  await fleet.waitForRecords();
  return { entry, leaving };
}

for (const { announce, end, fault, lateHeartbeats, health } of CASES) {
  const late = lateHeartbeats === 1 ? 'a late heartbeat' : `${lateHeartbeats} late heartbeats`;
  const name = `${announce}, ${end}, store: ${fault.kind}, ${late}, health: ${health}`;
  test(`a departure that was not stored is not forgotten: ${name}`, async () => {
    await withFleet(async (fleet) => {
      const { entry, leaving } = await startHosts(fleet);
      updateHost(leaving, { isSendingHeartbeats: false });
      fleet.store.setFault(fault);
      const stopped = end === 'stop' ? leaving.node.stop() : undefined;
      assert.equal(await announceDeparture(leaving, announce), 200);
      leaving.instance.health = health;
      await stopped;
      await leaving.node.close();
      await restartNode(leaving);
      const runs = leaving.instance.runs.length;
      for (let sequence = 1; sequence <= lateHeartbeats; sequence += 1) {
        await sendHeartbeat(leaving, { State: 'ready', Sequence: sequence });
      }
      fleet.store.setFault({ kind: 'none' });
      await wait(STORE_SETTLE_MS);
      await sendBookings(entry, 'f');
      assert.equal(leaving.instance.runs.length - runs, 0);
    });
  });
}

/** Restarts the node of a living instance and returns the number of heartbeats until it is used. */
async function countHeartbeats(entry: FleetHost, host: FleetHost): Promise<number> {
  updateHost(host, { isSendingHeartbeats: false });
  await host.node.close();
  await restartNode(host);
  await wait(STORE_SETTLE_MS);
  for (let count = 1; count <= 10; count += 1) {
    await sendHeartbeat(host);
    await wait(400);
    const { status } = await sendToHost(entry, { path: '/book/', id: `c-${count}` });
    if (status === 200) return count;
  }
  return Infinity;
}

test('a living instance is asked once after a restart, and used at once', async () => {
  await withFleet(async (fleet) => {
    const { entry, leaving: living } = await startHosts(fleet);
    assert.equal(living.instance.healthChecks, 0, 'the first process need not ask');
    assert.equal(await countHeartbeats(entry, living), 1);
    await sendHeartbeat(living);
    assert.equal(living.instance.healthChecks, 1);
  });
});

test('a living instance whose health check is wrong is used from the third heartbeat', async () => {
  await withFleet(async (fleet) => {
    const { entry, leaving: living } = await startHosts(fleet);
    living.instance.health = 'bad';
    assert.equal(await countHeartbeats(entry, living), 3);
  });
});

test('an instance that started after its node need not be asked', async () => {
  await withFleet(async (fleet) => {
    const { entry, leaving: host } = await startHosts(fleet);
    host.instance.health = 'bad';
    updateHost(host, { startedAtMs: Date.now() + 10_000 });
    assert.equal(await countHeartbeats(entry, host), 1);
  });
});

test('a restarted node without the store serves other hosts from the third heartbeat', async () => {
  await withFleet(async (fleet) => {
    const { entry, leaving: host } = await startHosts(fleet);
    fleet.store.setFault(REFUSE);
    assert.equal(await countHeartbeats(entry, host), 3);
  });
});
