/** Callers that send further requests before a response: each gets one, in the order sent. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import type { FleetRoute } from '../../standins/mesh/configuration.js';
import { MeshFleet, wait, type FleetHost } from '../../standins/mesh/meshFleet.js';

const ROUTES: readonly FleetRoute[] = [
  { prefix: '/read/', service: 'guide', kind: 'safe', timeoutMs: 5000 },
];

const RUN_MS = 400;
const IDS = ['p-1', 'p-2', 'p-3'];
const CLOSE_HEADER = 'Connection: close';

let fleet: MeshFleet;

let host: FleetHost;

beforeEach(async () => {
  fleet = new MeshFleet();
  await fleet.start(ROUTES);
  host = await fleet.addHost('guide');
  await fleet.waitForInstances('/read/', [host.instance.instanceId]);
  host.instance.runs.length = 0;
  host.instance.executionTimeMs = RUN_MS;
});

afterEach(() => fleet.close());

function formatRequest(id: string, version = '1.1', ...headers: readonly string[]): string {
  const lines = [
    `GET /read/1 HTTP/${version}`,
    'Host: mesh.example',
    `X-Lycheelane-Request-Attempt-Id: ${id}`,
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

interface Caller {
  readonly socket: Socket;
  /** Resolves with all that was received, once the connection has closed. */
  readonly received: Promise<string>;
}

function openCaller(allowHalfOpen = false): Caller {
  const { port } = host.settings.ports.calls;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen });
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  socket.on('error', () => {});
  const received = new Promise<string>((resolve) => {
    socket.once('close', () => resolve(Buffer.concat(chunks).toString()));
  });
  return { socket, received };
}

/** Returns the identifiers of the requests that were answered with success, in order. */
function listAnswered(text: string): string[] {
  return [...text.matchAll(/ ran (p-\d)/g)].map(([, id]) => id!);
}

async function waitForRuns(count: number): Promise<void> {
  while (host.instance.runs.length < count) await wait(10);
}

test('pipelined requests are answered in order, the last of which closes', async () => {
  const { socket, received } = openCaller();
  socket.write(
    IDS.map((id) => formatRequest(id, '1.1', ...(id === 'p-3' ? [CLOSE_HEADER] : []))).join(''),
  );
  assert.deepEqual(listAnswered(await received), IDS);
});

test('a request of HTTP/1.0 is answered, and its connection closed', async () => {
  const { socket, received } = openCaller();
  socket.write(formatRequest('p-1', '1.0'));
  assert.deepEqual(listAnswered(await received), ['p-1']);
});

test('pipelined requests that run when the node stops are all answered', async () => {
  const { socket, received } = openCaller();
  socket.write(IDS.map((id) => formatRequest(id)).join(''));
  await waitForRuns(IDS.length);
  await host.node.stop();
  assert.deepEqual(listAnswered(await received), IDS);
});

test('a caller that closes its sending side is answered or its request ends', async () => {
  const { socket, received } = openCaller(true);
  socket.end(formatRequest('p-1'));
  const answered = listAnswered(await received);
  await wait(RUN_MS / 2);
  const { cancelledRequests, runs } = host.instance;
  assert.equal(runs.length, answered.length + cancelledRequests);
});
