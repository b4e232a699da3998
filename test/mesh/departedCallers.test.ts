/** Callers that leave: what they asked for ends, wherever it is. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import type { FleetRoute } from '../../standins/mesh/configuration.js';
import { MeshFleet, sendToHost, wait, type FleetHost } from '../../standins/mesh/meshFleet.js';

const ROUTES: readonly FleetRoute[] = [
  { prefix: '/read/', service: 'guide', kind: 'safe' },
  { prefix: '/book/', service: 'guide', kind: 'unsafe' },
];

const RUN_MS = 1500;

let fleet: MeshFleet;

beforeEach(async () => {
  fleet = new MeshFleet();
  await fleet.start(ROUTES);
});

afterEach(() => fleet.close());

function formatRequest(id: string): string {
  const headers = ['Host: mesh.example', `X-Lycheelane-Request-Attempt-Id: ${id}`];
  return `GET /read/1 HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\n`;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await wait(10);
}

async function sendPipelined(host: FleetHost, ids: readonly string[]) {
  const { port } = host.settings.ports.calls;
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(ids.map(formatRequest).join(''));
  await waitUntil(() => host.instance.runs.length === ids.length);
  return socket;
}

test('all pipelined requests of a caller that disconnects end, not only the first', async () => {
  const host = await fleet.addHost('guide');
  await fleet.waitForInstances('/read/', [host.instance.instanceId]);
  host.instance.runs.length = 0;
  host.instance.executionTimeMs = RUN_MS;
  const socket = await sendPipelined(host, ['p-1', 'p-2', 'p-3']);
  socket.destroy();
  await wait(RUN_MS / 3);
  assert.equal(host.instance.cancelledRequests, 3);
});

test('a node stops at once when its pipelining callers have left', async () => {
  const host = await fleet.addHost('guide');
  await fleet.waitForInstances('/read/', [host.instance.instanceId]);
  host.instance.runs.length = 0;
  host.instance.executionTimeMs = RUN_MS;
  const socket = await sendPipelined(host, ['p-1', 'p-2']);
  socket.destroy();
  await wait(RUN_MS / 3);
  const other = await sendToHost(host, { path: '/read/2', id: 'other' });
  assert.equal(other.status, 200);
  const startedAtMs = performance.now();
  await host.node.stop();
  assert.ok(performance.now() - startedAtMs < 4000, 'no request counts as open');
});
