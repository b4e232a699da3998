/** A store that comes back from an older copy: revisions are given out a second time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetRoute } from '../../standins/mesh/configuration.js';
import { MeshFleet, sendToHost, wait, type FleetHost } from '../../standins/mesh/meshFleet.js';

const ROUTES: readonly FleetRoute[] = [{ prefix: '/read/', kind: 'safe' }];
const ADDED: readonly FleetRoute[] = [...ROUTES, { prefix: '/added/', kind: 'safe' }];
const LATER: readonly FleetRoute[] = [...ADDED, { prefix: '/later/', kind: 'safe' }];

/** Bound of a change of the configuration after the store is back, in milliseconds. */
const IN_FORCE_MS = 2000;

async function withFleet(
  hostCount: number,
  run: (fleet: MeshFleet, hosts: readonly FleetHost[]) => Promise<void>,
): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start(ROUTES);
  try {
    for (let index = 0; index < hostCount; index += 1) await fleet.addHost('pads');
    await fleet.waitForRecords();
    await run(fleet, fleet.hosts);
  } finally {
    await fleet.close();
  }
}

async function listStatuses(hosts: readonly FleetHost[], path: string): Promise<number[]> {
  const responses = await Promise.all(
    hosts.map((host, index) => sendToHost(host, { path, id: `q-${path}-${index}` })),
  );
  return responses.map(({ status }) => status);
}

/** Takes the store away, restores the copy and lets it come back. */
async function restore(fleet: MeshFleet, copy: ReturnType<MeshFleet['store']['copyState']>) {
  fleet.store.setFault({ kind: 'reset' });
  await wait(300);
  fleet.store.restoreState(copy);
}

for (const name of ['before the nodes ask again', 'after some have asked']) {
  test(`a change at a revision of the lost history is in force on all nodes, ${name}`, async () => {
    await withFleet(3, async (fleet, hosts) => {
      const copy = fleet.store.copyState();
      fleet.configure(2, ADDED);
      await wait(600);
      assert.deepEqual(await listStatuses(hosts, '/added/1'), [200, 200, 200]);
      await restore(fleet, copy);
      if (name === 'before the nodes ask again') fleet.configure(3, LATER);
      fleet.store.setFault({ kind: 'none' });
      if (name !== 'before the nodes ask again') {
        await wait(250);
        fleet.configure(3, LATER);
      }
      await wait(IN_FORCE_MS);
      assert.deepEqual(await listStatuses(hosts, '/later/1'), [200, 200, 200]);
    });
  });
}

test('a change after the second of two restored copies is in force on all nodes', async () => {
  await withFleet(3, async (fleet, hosts) => {
    const copy = fleet.store.copyState();
    fleet.configure(2, ADDED);
    await wait(600);
    await restore(fleet, copy);
    fleet.store.setFault({ kind: 'none' });
    fleet.configure(2, ADDED);
    await wait(400);
    await restore(fleet, copy);
    fleet.configure(3, LATER);
    fleet.store.setFault({ kind: 'none' });
    await wait(IN_FORCE_MS);
    assert.deepEqual(await listStatuses(hosts, '/later/1'), [200, 200, 200]);
  });
});

test('a record that a restored copy lacks is published again, and requests succeed', async () => {
  await withFleet(2, async (fleet) => {
    const copy = fleet.store.copyState();
    const added = await fleet.addHost('pads');
    await fleet.waitForRecords();
    await restore(fleet, copy);
    // The revisions of the lost records are given out again, to another object.
    for (let count = 0; count < 5; count += 1) fleet.store.put('other', 'object', count);
    fleet.store.setFault({ kind: 'none' });
    await wait(IN_FORCE_MS);
    const nodeId = String(added.settings.nodeId);
    assert.notEqual(fleet.store.get('lycheelane-nodes', nodeId), undefined);
    assert.deepEqual(await listStatuses([added], '/read/1'), [200]);
  });
});
