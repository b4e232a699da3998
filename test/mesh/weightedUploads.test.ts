/** Routes that are split by weight, and uploads: what each part gets, and what runs how often. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { InstanceClient } from '../../src/mesh/instanceClient.js';
import type { CallMetadata, HttpRequest, RunResult } from '../../src/mesh/model.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import type { FleetRoute } from '../../standins/mesh/configuration.js';
import { MeshFleet, sendToHost, wait, type FleetHost } from '../../standins/mesh/meshFleet.js';

const REQUESTS = 200;

/** Distance of a share from its weight that the operator tolerates. */
const TOLERANCE = 0.1;

const SETTLE_MS = 1000;

function buildRoutes(pads: number, books: number): readonly FleetRoute[] {
  const backends = [
    { Service: 'pads', Weight: pads },
    { Service: 'books', Weight: books },
  ];
  return [
    { prefix: '/read/' },
    { prefix: '/split/', kind: 'unsafe', backends },
    { prefix: '/upload/', kind: 'upload', attempts: 3 },
  ];
}

interface SplitFleet {
  readonly fleet: MeshFleet;
  readonly entries: readonly FleetHost[];
  readonly pads: FleetHost;
  readonly books: FleetHost;
}

async function withSplit(run: (split: SplitFleet) => Promise<void>): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start(buildRoutes(3, 1));
  try {
    const entries = [await fleet.addHost('guide'), await fleet.addHost('guide')];
    const pads = await fleet.addHost('pads', 'a', { slots: 100 });
    const books = await fleet.addHost('books', 'a', { slots: 100 });
    await fleet.waitForRecords();
    await wait(SETTLE_MS);
    await run({ fleet, entries, pads, books });
  } finally {
    await fleet.close();
  }
}

/** Sends requests on the split route through both hosts and returns their statuses. */
function sendSplit({ entries }: SplitFleet, name: string): Promise<number[]> {
  return Promise.all(
    Array.from({ length: REQUESTS }, async (_, index) => {
      const id = `${name}-${index}`;
      const host = entries[index % entries.length]!;
      const { status } = await sendToHost(host, { path: '/split/', id, method: 'POST' });
      return status;
    }),
  );
}

function countRuns({ instance }: FleetHost, name: string): number {
  return instance.runs.filter(({ requestId }) => requestId.startsWith(`${name}-`)).length;
}

function assertShare(count: number, share: number, what: string): void {
  const actual = count / REQUESTS;
  assert.ok(Math.abs(actual - share) <= TOLERANCE, `${what}: ${actual} for ${share}`);
}

test('each part gets its share, and the new one after its weight has changed', async () => {
  await withSplit(async (split) => {
    const { fleet, pads, books } = split;
    await sendSplit(split, 'old');
    assertShare(countRuns(pads, 'old'), 0.75, 'pads');
    assertShare(countRuns(books, 'old'), 0.25, 'books');
    fleet.configure(2, buildRoutes(1, 4));
    await wait(SETTLE_MS);
    await sendSplit(split, 'new');
    assertShare(countRuns(pads, 'new'), 0.2, 'pads');
    assertShare(countRuns(books, 'new'), 0.8, 'books');
  });
});

test('what does not fit in a part is refused, and not moved to another one', async () => {
  await withSplit(async (split) => {
    const { pads, books } = split;
    books.instance.fault = { kind: 'shed' };
    const statuses = await sendSplit(split, 'short');
    assertShare(countRuns(pads, 'short'), 0.75, 'pads');
    assertShare(statuses.filter((status) => status === 503).length, 0.25, 'refused');
    assert.equal(countRuns(books, 'short'), 0);
  });
});

test('an upload whose answer is lost is not sent to another instance', async () => {
  await withSplit(async ({ fleet, entries, pads }) => {
    const other = await fleet.addHost('pads', 'a', { slots: 100 });
    await fleet.waitForRecords();
    for (const { instance } of [pads, other]) instance.fault = { kind: 'lose-answer' };
    const body = 'x'.repeat(60_000);
    const request = { path: '/upload/', method: 'POST', body };
    for (let index = 0; index < 8; index += 1) {
      const response = await sendToHost(entries[0]!, { ...request, id: `u-${index}` });
      assert.equal(response.status, 502);
    }
    const runs = [...pads.instance.runs, ...other.instance.runs];
    const ids = runs.map(({ requestId }) => requestId).filter((id) => id.startsWith('u-'));
    assert.equal(ids.length, 8);
    assert.equal(new Set(ids).size, 8, 'each ran once');
  });
});

test('an upload above the limit of the configuration is refused, and does not run', async () => {
  await withSplit(async ({ entries, pads }) => {
    const body = 'x'.repeat(200_000);
    const request = { path: '/upload/', id: 'large', method: 'POST', body };
    const status = await sendToHost(entries[0]!, request).then(
      (response) => response.status,
      () => 'closed',
    );
    assert.ok(status === 413 || status === 'closed', `${status}`);
    assert.equal(pads.instance.runs.length, 0);
  });
});

const UPLOAD_BYTES = 4 * 1024 * 1024;

/** Time for which the early instance does not read the rest of a body. */
const READ_PAUSE_MS = 300;

/** Bytes that an instance received on one connection. */
interface Received {
  text: string;
}

/** Answers each request as soon as it has its head, and reads the body later. */
function serveEarly(socket: Socket, received: Received): void {
  const target = received;
  let headsAnswered = 0;
  socket.on('error', () => {});
  socket.on('data', (chunk: Buffer) => {
    target.text += chunk.toString('latin1');
    const ids = [...target.text.matchAll(/Attempt-Id: (\S+)\r\n(?:[^\r]+\r\n)*\r\n/g)];
    for (const [, id] of ids.slice(headsAnswered)) {
      headsAnswered += 1;
      socket.pause();
      setTimeout(() => socket.resume(), READ_PAUSE_MS);
      socket.write(
        `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${id}\r\n` +
          `${HEADER_NAMES.signature}: s\r\nContent-Length: 2\r\n\r\nok`,
      );
    }
  });
}

/** Checks that a connection carried whole requests, the last of which may be cut. */
function assertWholeRequests(text: string): void {
  let rest = text;
  while (rest !== '') {
    assert.match(rest, /^POST \/upload\/ HTTP\/1\.1\r\n/, 'a request begins where one is due');
    const headEnd = rest.indexOf('\r\n\r\n') + 4;
    const body = rest.slice(headEnd, headEnd + UPLOAD_BYTES);
    assert.match(body, /^x*$/, 'the body has no other bytes');
    rest = rest.slice(headEnd + UPLOAD_BYTES);
  }
}

test('an upload that is answered early gets no other bytes where its rest is due', async () => {
  const connections: Received[] = [];
  const server = createServer((socket) => {
    const received: Received = { text: '' };
    connections.push(received);
    serveEarly(socket, received);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = new InstanceClient({ host: '127.0.0.1', port }, HEADER_NAMES, () => {});
  const send = (id: string): Promise<RunResult> => {
    const headers = ['Host', 'h', HEADER_NAMES.requestId, id];
    const body = Buffer.alloc(UPLOAD_BYTES, 'x');
    const request: HttpRequest = { method: 'POST', path: '/upload/', headers, body };
    const metadata: CallMetadata = {
      attemptId: id,
      requestId: id,
      route: brandText('upload'),
      instanceId: brandText('i-1'),
      isIdempotent: false,
      priority: 0,
      deadlineAtMs: performance.now() + 4000,
      objectiveAtMs: performance.now() + 4000,
    };
    return client.run(request, metadata, new Cancellation());
  };
  for (const id of ['one', 'two', 'three']) assert.equal((await send(id)).kind, 'answered', id);
  await wait(2 * READ_PAUSE_MS);
  for (const { text } of connections) assertWholeRequests(text);
  client.close();
  server.close();
});
