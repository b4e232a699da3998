/** Guards against an account that gets more than its quota, or less, over the nodes of a mesh. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MeshFleet, sendToHost, wait } from '../../../standins/mesh/meshFleet.js';

const ROUTES = [{ prefix: '/read/' }];
const QUOTA = { windowMs: 5000, overage: 0.1, slack: 4 };
const LIMITED = { name: 'shop', keys: ['key-of-the-shop'], ratePerS: 10, burst: 10 };
const UNLIMITED = { name: 'cafe', keys: ['key-of-the-cafe'] };
const REQUESTS = 200;

/** Time after which a coordinator counts the nodes, with a full bucket. */
const SETTLE_MS = 3000;

test('requests over the quota are refused where they enter, and only those', async () => {
  const fleet = new MeshFleet();
  await fleet.start(ROUTES, [LIMITED, UNLIMITED]);
  try {
    const options = { policies: { quota: QUOTA } };
    for (const zone of ['a', 'b']) await fleet.addHost('pads', zone, options);
    await fleet.waitForRecords();
    await wait(SETTLE_MS);
    let sent = 0;
    const sendAs = async (key: string) => {
      sent += 1;
      const host = fleet.hosts[sent % fleet.hosts.length]!;
      const request = { path: '/read/1', id: `quota-${sent}`, headers: { 'Api-Key': key } };
      return sendToHost(host, request);
    };
    const startedAtMs = performance.now();
    const statuses: number[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      const response = await sendAs(LIMITED.keys[0]!);
      statuses.push(response.status);
      if (response.status === 429) assert.ok(Number(response.headers['retry-after']) > 0);
    }
    const elapsedS = (performance.now() - startedAtMs) / 1000;
    const served = statuses.filter((status) => status === 200).length;
    const quota = LIMITED.burst + LIMITED.ratePerS * elapsedS;
    assert.ok(served <= quota * (1 + QUOTA.overage) + QUOTA.slack, `${served} of ${quota}`);
    assert.ok(served >= LIMITED.burst / 2, `${served} served`);
    assert.deepEqual([...new Set(statuses)].sort(), [200, 429]);
    const runs = fleet.hosts.flatMap(({ instance }) => instance.runs);
    assert.equal(runs.length, served);
    for (let index = 0; index < REQUESTS; index += 1) {
      assert.equal((await sendAs(UNLIMITED.keys[0]!)).status, 200);
    }
  } finally {
    await fleet.close();
  }
});
