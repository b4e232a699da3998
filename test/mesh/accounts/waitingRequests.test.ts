/** Requests of accounts that wait at the call port: for their body, or for a quota token. */
import assert from 'node:assert/strict';
import { get, type IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../../platform/names.js';
import { AcceptMonitor } from '../../../src/mesh/acceptMonitor.js';
import { CallEntry } from '../../../src/mesh/accounts/callEntry.js';
import { createCallPort, type CallPort } from '../../../src/mesh/callPort.js';
import type { CallRouter } from '../../../src/mesh/callRouter.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import type { MeshConfig, MeshRoute, MeshSettings } from '../../../src/mesh/model.js';
import { QuotaClient } from '../../../src/mesh/quotas/client.js';
import { buildRouteTable } from '../../../src/mesh/routeTable.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { closeServer, openServer } from '../../../standins/http.js';
import { wait } from '../../../standins/mesh/meshFleet.js';
import { CALM_LOOP, PEER_PORT_PARTS } from '../peerPortParts.js';
import { buildAccount } from '../quotas/quotaMesh.js';

const ACCOUNT = buildAccount('a', 100, 100);
const COORDINATOR = brandText<NodeId>('n-1');
const HOST = '127.0.0.1';
const BODY = 'body';

const ROUTE: MeshRoute = {
  name: brandText('all'),
  host: 'mesh.example',
  pathPrefix: '/',
  targets: [],
  isIdempotent: false,
  timeoutMs: 5000,
  objectiveMs: 1000,
  maxAttempts: 1,
  priority: 0,
};

const CONFIG = {
  version: 1,
  routes: buildRouteTable([ROUTE]),
  limits: { maxHeaderBytes: 9999, maxBodyBytes: 9999, headerTimeoutMs: 0, idleTimeoutMs: 9999 },
  accounts: [ACCOUNT],
} as unknown as MeshConfig;

interface Entry {
  readonly quotas: QuotaClient;
  readonly callPort: CallPort;
  readonly port: number;
  /** Returns the number of calls that the router has got. */
  readonly countRuns: () => number;
  /** Answers all needs with tokens. */
  readonly grant: () => void;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await wait(5);
}

/** Starts a call port whose requests are all of one account, and whose calls end at once. */
async function withEntry(run: (entry: Entry) => Promise<void>): Promise<void> {
  const metrics = new MeshMetrics();
  const quotas = new QuotaClient({ isEnforced: () => true, log: SILENT_LOG });
  quotas.applyAccounts([ACCOUNT]);
  let runs = 0;
  const response = { status: 200, headers: [], body: Buffer.alloc(0) };
  const router = {
    run: async () => {
      runs += 1;
      return { kind: 'answered', response };
    },
  } as unknown as CallRouter;
  const identity = { account: ACCOUNT, keyDigest: 'digest' };
  const gate = { authorize: () => ({ kind: 'account', identity, untilMs: undefined }) as const };
  const callPort = createCallPort({
    getSettings: () => ({ service: 'pads' }) as unknown as MeshSettings,
    getConfig: () => CONFIG,
    router,
    entry: new CallEntry({ gate, quotas, getUncountedMs: () => 0 }),
    loop: CALM_LOOP,
    accepts: new AcceptMonitor(),
    memory: PEER_PORT_PARTS.memory,
    clients: PEER_PORT_PARTS.nodes,
    names: HEADER_NAMES,
    log: SILENT_LOG,
    metrics,
  });
  const port = await openServer(callPort.server, HOST, 0);
  const grant = () => {
    const { needs } = quotas.collectTokens(COORDINATOR);
    const grants = needs.map((need) => ({ ...need, lifeMs: 1000, retryAfterMs: 0 }));
    quotas.applyGrants(needs, grants, COORDINATOR, performance.now());
  };
  try {
    await run({ quotas, callPort, port, countRuns: () => runs, grant });
  } finally {
    quotas.close();
    callPort.server.closeAllConnections();
    await closeServer(callPort.server);
  }
}

/** Sends the head of a request whose body is held back. */
function sendHead(port: number): Socket {
  const socket = connect(port, HOST);
  socket.on('error', () => {});
  socket.write(`POST / HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: ${BODY.length}\r\n\r\n`);
  return socket;
}

function sendGet(port: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const headers = { Host: 'mesh.example' };
    get({ host: HOST, port, headers, agent: false }, resolve).once('error', reject);
  });
}

test('a body that is held back does not keep a token for a later window', async () => {
  await withEntry(async ({ quotas, callPort, port, countRuns, grant }) => {
    const sockets = Array.from({ length: 20 }, () => sendHead(port));
    await waitUntil(() => callPort.countOpen() === sockets.length);
    await wait(50);
    grant();
    await wait(50);
    for (const socket of sockets) socket.write(BODY);
    await wait(100);
    assert.equal(countRuns(), 0, 'they run with tokens of the time of their bodies only');
    await waitUntil(() => quotas.isWaiting());
    grant();
    await waitUntil(() => countRuns() === sockets.length);
    for (const socket of sockets) socket.destroy();
  });
});

test('a request of a denied account is refused before its body has come', async () => {
  await withEntry(async ({ quotas, port }) => {
    const first = quotas.take(ACCOUNT);
    const { needs } = quotas.collectTokens(COORDINATOR);
    const denial = { account: ACCOUNT.name, tokens: 0, lifeMs: 1000, retryAfterMs: 5000 };
    quotas.applyGrants(needs, [denial], COORDINATOR, performance.now());
    assert.equal((await first).kind, 'denied');
    const socket = sendHead(port);
    const answer = await new Promise<Buffer>((resolve) => {
      socket.once('data', resolve);
    });
    assert.match(answer.toString(), /^HTTP\/1\.1 429 /);
    socket.destroy();
    assert.equal((await sendGet(port)).statusCode, 429);
  });
});

test('a request that waits for a token is answered as soon as the node ends', async () => {
  await withEntry(async ({ quotas, callPort, port, countRuns, grant }) => {
    const answered = sendGet(port);
    await waitUntil(() => quotas.isWaiting());
    const cancelledAtMs = performance.now();
    assert.equal(callPort.cancelOpen(), 1);
    const { statusCode, headers } = await answered;
    assert.equal(statusCode, 503);
    assert.ok(Number(headers['retry-after']) > 0);
    // A node that stops leaves 150 ms for the responses to cancelled requests.
    assert.ok(performance.now() - cancelledAtMs < 150);
    grant();
    assert.equal(countRuns(), 0);
  });
});

test('a caller that leaves while it waits for a token takes none', async () => {
  await withEntry(async ({ quotas, callPort, port, countRuns }) => {
    const socket = sendHead(port);
    socket.write(BODY);
    await waitUntil(() => quotas.isWaiting());
    socket.destroy();
    await waitUntil(() => callPort.countOpen() === 0);
    assert.equal(quotas.isWaiting(), false);
    const { needs } = quotas.collectTokens(COORDINATOR);
    assert.deepEqual(needs, [], 'nothing is asked for it');
    assert.equal(countRuns(), 0);
  });
});
