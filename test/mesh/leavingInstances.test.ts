/** Instances that leave, and what their hosts know of it after a restart. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  deregister,
  restartNode,
  sendHeartbeat,
  sendToHost,
  updateHost,
  wait,
} from '../../standins/mesh/meshFleet.js';
import { withFleet } from './withFleet.js';

test('a draining instance gets no request, even after its node restarts', async () => {
  await withFleet(async (fleet) => {
    const entry = await fleet.addHost('guide');
    const leaving = await fleet.addHost('pads');
    await fleet.waitForInstances('/read/', ['i-1']);
    updateHost(leaving, { state: 'draining' });
    assert.equal(await sendHeartbeat(leaving), 200);
    const before = leaving.instance.runs.length;
    const refused = await sendToHost(entry, { path: '/book/', id: 'l-1' });
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers['retry-after']) > 0);
    await leaving.node.close();
    await restartNode(leaving);
    // The new process receives a delayed heartbeat that was sent before.
    await wait(100);
    await sendHeartbeat(leaving, { State: 'ready', Sequence: 1 });
    assert.equal((await sendToHost(entry, { path: '/book/', id: 'l-2' })).status, 503);
    assert.equal(leaving.instance.runs.length, before);
  });
});

test('an instance whose response says that it leaves gets no request from any host', async () => {
  await withFleet(async (fleet) => {
    const entry = await fleet.addHost('guide');
    const other = await fleet.addHost('guide');
    const leaving = await fleet.addHost('pads');
    await fleet.waitForInstances('/read/', ['i-2']);
    leaving.instance.isLeaving = true;
    assert.equal((await sendToHost(entry, { path: '/book/', id: 'l-1' })).status, 200);
    assert.equal((await sendToHost(other, { path: '/book/', id: 'l-2' })).status, 503);
    assert.equal((await sendToHost(leaving, { path: '/book/', id: 'l-3' })).status, 503);
    // A heartbeat that was sent before is delayed.
    await sendHeartbeat(leaving);
    assert.equal((await sendToHost(entry, { path: '/book/', id: 'l-4' })).status, 503);
    assert.equal(leaving.instance.runs.at(-1)?.requestId, 'l-1');
  });
});

test('a host still knows that an instance leaves after its node restarted', async () => {
  await withFleet(async (fleet) => {
    const entry = await fleet.addHost('guide');
    const leaving = await fleet.addHost('pads');
    await fleet.waitForInstances('/read/', ['i-1']);
    fleet.store.setFault({ kind: 'refuse', status: 503 });
    leaving.instance.isLeaving = true;
    assert.equal((await sendToHost(entry, { path: '/book/', id: 'f-1' })).status, 200);
    await leaving.node.close();
    await restartNode(leaving);
    fleet.store.setFault({ kind: 'none' });
    await sendHeartbeat(leaving);
    await fleet.waitForRecords();
    assert.equal((await sendToHost(entry, { path: '/book/', id: 'f-2' })).status, 503);
    assert.equal(leaving.instance.runs.at(-1)?.requestId, 'f-1');
  });
});

test('an instance that started again after it left gets requests', async () => {
  await withFleet(async (fleet) => {
    const entry = await fleet.addHost('guide');
    const leaving = await fleet.addHost('pads');
    await fleet.waitForInstances('/read/', ['i-1']);
    leaving.instance.isLeaving = true;
    assert.equal((await sendToHost(entry, { path: '/book/', id: 's-1' })).status, 200);
    leaving.instance.isLeaving = false;
    updateHost(leaving, { startedAtMs: leaving.startedAtMs + 1000 });
    await sendHeartbeat(leaving);
    await wait(1000);
    assert.equal((await sendToHost(entry, { path: '/book/', id: 's-2' })).status, 200);
  });
});

test('a node still knows after a restart that its instance was deregistered', async () => {
  await withFleet(async (fleet) => {
    const host = await fleet.addHost('pads');
    await fleet.waitForInstances('/read/', ['i-0']);
    updateHost(host, { isSendingHeartbeats: false });
    assert.equal(await deregister(host), 200);
    await host.node.stop();
    await host.node.close();
    const before = host.instance.runs.length;
    await restartNode(host);
    await wait(100);
    await sendHeartbeat(host);
    assert.equal((await sendToHost(host, { path: '/book/', id: 'w-1' })).status, 503);
    assert.equal(host.instance.runs.length, before);
  });
});
