import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createHttpPlatform } from '../../src/core/platform/httpPlatform.js';
import { parseSettings } from '../../src/core/settings.js';
import { startNode, type RunningNode } from '../../src/core/wiring.js';
import type { NodesAnswer, NodeStatus } from '../../src/generated/types.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { createCaller } from '../../standins/caller.js';
import { requestJson } from '../../standins/launcher.js';
import { startPlatform } from '../../standins/platform/server.js';
import { startUpstream } from '../../standins/upstream/server.js';
import { acceptNext } from '../config/samples.js';
import { waitFor } from '../faults/support.js';

const AUTHORITY = 'pads.example';
/** Two notations of the loopback address; settings and announcements may use either. */
const SHORT = '::1';
const LONG = '0:0:0:0:0:0:0:1';

const CONTENT = {
  base: {
    services: { padbook: { slots: 4 } },
    routes: {
      book: { service: 'padbook', match: { pathPrefix: '/bookings' }, repeatability: 'once' },
    },
  },
  overlays: {},
};

async function startIpv6Node(
  t: TestContext,
  nodeId: string,
  host: string,
  platformUrl: string,
  seeds: readonly object[],
): Promise<RunningNode> {
  const text = JSON.stringify({
    ...{ nodeId, dataCentre: 'dc1', region: 'r1', platformUrl, seeds },
    ...{ host, announceHost: host, operatorHost: host },
    ...{ callPort: 0, peerPort: 0, announcePort: 0, operatorPort: 0 },
  });
  const settings = parseSettings(text, `${nodeId}.json`)._unsafeUnwrap();
  const node = (await startNode(settings, SILENT_LOGGER))._unsafeUnwrap();
  t.after(() => node.stop());
  return node;
}

// Guards against IPv6 addresses that are joined with a port without brackets, or compared without
// being normalized: nodes would find no peers or instances, or could not forward calls.
test('nodes with IPv6 addresses discover each other and forward calls', async (t) => {
  const platform = await startPlatform({ host: SHORT });
  t.after(() => platform.close());
  const client = createHttpPlatform(platform.url);
  t.after(() => client.close());
  await acceptNext(client, CONTENT);
  const first = await startIpv6Node(t, 'n1', SHORT, platform.url, []);
  const seeds = [{ host: LONG, port: first.ports.peerPort }];
  const second = await startIpv6Node(t, 'n2', LONG, platform.url, seeds);
  const upstream = await startUpstream({
    ...{ service: 'padbook', instanceId: 'padbook-1', slots: 4, workMs: 0, seed: 1 },
    host: LONG,
    announceUrl: `http://[::1]:${second.ports.announcePort}`,
  });
  t.after(() => upstream.close());
  const caller = createCaller();
  t.after(() => caller.close());

  const readJson = <Value>(port: number, path: string) =>
    requestJson<Value>(`http://[::1]:${port}${path}`);
  const table = await waitFor('both nodes', async () => {
    const seen = await readJson<NodesAnswer>(first.ports.operatorPort, '/v1/nodes?scope=all');
    return seen.nodes.length === 2 && seen.nodes.every((node) => node.ready) && seen;
  });
  assert.deepEqual(table.nodes.map(({ nodeId }) => nodeId).sort(), ['n1', 'n2']);
  // n1 has no instance, so its calls are forwarded.
  const result = await waitFor('a forwarded call', async () => {
    const sent = await caller.send({
      ...{ entryUrl: `http://[::1]:${first.ports.callPort}`, authority: AUTHORITY },
      ...{ method: 'POST', path: '/bookings', callId: 'six' },
    });
    if (sent.kind === 'notRun' && sent.reason === 'no-instance') return undefined;
    return sent;
  });
  assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 1 });
  const status = await readJson<NodeStatus>(second.ports.operatorPort, '/v1/status');
  assert.equal(status.nodeId, 'n2');
});
