import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { advance, startClock, stopClock } from '../../standins/memory/clock.js';
import {
  measureDataCentreFailure,
  measureRackFailure,
  measureRegionPartition,
  measureRestart,
} from '../../standins/memory/largeFaults.js';
import {
  startLargeMesh,
  startTrafficMeasurement,
  sumTraffic,
  type LargeMesh,
} from '../../standins/memory/largeMesh.js';

let mesh: LargeMesh;

async function start(sites: number, nodesPerSite: number): Promise<void> {
  mesh = await startLargeMesh(sites, nodesPerSite);
  await advance(30_000, 100);
}

beforeEach(startClock);
afterEach(async () => {
  await mesh.stop();
  stopClock();
});

// Guards against relays that exceed the control traffic budget of 3 KB/s with ten data centres.
test('without changes relays stay below 2 KB/s and other nodes below 1 KB/s', async () => {
  await start(10, 4);
  const getTraffic = startTrafficMeasurement(mesh.nodes);
  await advance(60_000, 100);
  for (const node of mesh.nodes) {
    const limit = node.members.isRelay() ? 2000 : 1000;
    const bytesPerSecond = sumTraffic(getTraffic(node)) / 60;
    assert.ok(bytesPerSecond < limit, `${node.port}: ${bytesPerSecond} B/s`);
  }
});

// Guards against nodes that keep the record of the ended process after a restart.
test('all nodes of three data centres know a restarted process within 8 s', async () => {
  await start(3, 16);
  assert.ok((await measureRestart(mesh)) <= 8000);
});

// Guards against members that fail together, relays included, and stay in remote tables.
test('all nodes know of the loss of ten members of a data centre within 15 s', async () => {
  await start(3, 16);
  assert.ok((await measureRackFailure(mesh, 10)) <= 15_000);
});

// Guards against the loss of a data centre that is not reported, or does not end with a restart.
test('a lost data centre is reported within 10 s and is alive 15 s after its restart', async () => {
  await start(3, 16);
  const { detectionMs, recoveryMs } = await measureDataCentreFailure(mesh);
  assert.ok(detectionMs <= 10_000, `${detectionMs} ms`);
  assert.ok(recoveryMs <= 15_000, `${recoveryMs} ms`);
});

// Guards against outdated records and revived dead members after a partition between regions.
test('regions partitioned for an hour agree within 10 s after the partition heals', async () => {
  await start(3, 4);
  assert.ok((await measureRegionPartition(mesh)) <= 10_000);
});
