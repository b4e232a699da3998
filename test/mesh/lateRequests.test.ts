/**
 * A planned stop of the node beside an instance whose runs take long: a request that could not end
 * before the process does is refused while another instance can run it, and none is cut.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunTimes } from '../../src/mesh/runTimes.js';
import { sendToHost, wait } from '../../standins/mesh/meshFleet.js';
import { withFleet } from './withFleet.js';

/** Interval between two requests during the stop. */
const SEND_INTERVAL_MS = 100;

const RUN_MS = 2800;

test('no request that comes late in the grace period of a node is cut', async () => {
  await withFleet(async (fleet) => {
    const entry = await fleet.addHost('guide');
    const target = await fleet.addHost('pads', 'a', { slots: 100 });
    await fleet.waitForInstances('/long/', ['i-1']);
    target.instance.executionTimeMs = RUN_MS;
    const deadlineMs = 20_000;
    await sendToHost(entry, { path: '/long/', id: 'known', method: 'POST', deadlineMs });
    // A request of its own callers keeps the node serving others as long as it may.
    const own = sendToHost(target, { path: '/long/', id: 'own', method: 'POST', deadlineMs });
    let hasStopped = false;
    const stopped = target.node.stop().then(() => {
      hasStopped = true;
      return target.node.close();
    });
    const statuses: Promise<number>[] = [];
    while (!hasStopped) {
      const request = { path: '/long/', id: `late-${statuses.length}`, method: 'POST', deadlineMs };
      statuses.push(sendToHost(entry, request).then(({ status }) => status));
      await wait(SEND_INTERVAL_MS);
    }
    await stopped;
    assert.equal((await own).status, 200);
    const received = await Promise.all(statuses);
    const ran = new Set(target.instance.runs.map(({ requestId }) => requestId));
    for (const [index, status] of received.entries()) {
      assert.equal(status, ran.has(`late-${index}`) ? 200 : 503, `request ${index}`);
    }
    assert.ok(received.filter((status) => status === 200).length > 5, 'early ones still run');
    assert.equal(target.instance.cancelledRequests, 0);
  });
});

test('an instance with long runs is left to others while these can take the requests', async () => {
  await withFleet(async (fleet) => {
    const entry = await fleet.addHost('guide');
    const target = await fleet.addHost('pads', 'a', { slots: 100 });
    const other = await fleet.addHost('pads', 'a', { slots: 100 });
    await fleet.waitForRecords();
    for (const { instance } of [target, other]) instance.executionTimeMs = RUN_MS;
    const deadlineMs = 20_000;
    const send = (id: string) =>
      sendToHost(entry, { path: '/long/', id, method: 'POST', deadlineMs });
    await Promise.all(['a', 'b', 'c', 'd'].map(send));
    const own = sendToHost(target, { path: '/long/', id: 'own', method: 'POST', deadlineMs });
    let hasStopped = false;
    const stopped = target.node.stop().then(() => {
      hasStopped = true;
      return target.node.close();
    });
    const sent: ReturnType<typeof send>[] = [];
    while (!hasStopped) {
      sent.push(send(`late-${sent.length}`));
      await wait(SEND_INTERVAL_MS);
    }
    await stopped;
    await own;
    for (const { status } of await Promise.all(sent)) assert.equal(status, 200);
  });
});

test('the high estimate of a run time follows the longest runs and falls slowly', () => {
  const times = new RunTimes();
  assert.equal(times.getHighMs('read'), undefined);
  for (let runs = 0; runs < 100; runs += 1) times.record('read', 100, false);
  times.record('read', 900, false);
  assert.equal(times.getHighMs('read'), 900);
  assert.equal(times.getHighMs('other'), undefined, 'nothing is known of another route');
  for (let runs = 0; runs < 50; runs += 1) times.record('read', 100, false);
  const highMs = times.getHighMs('read') ?? 0;
  assert.ok(highMs > 500 && highMs < 900, `${highMs} ms`);
  times.record('read', 5000, true);
  assert.ok((times.getHighMs('read') ?? 0) < 900, 'a failed run tells nothing');
});
