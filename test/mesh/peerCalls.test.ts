/** Calls between nodes over failing connections: at most one run, whose response is not lost. */
import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import type { ConfigDelta } from '../../src/mesh/configDelta.js';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { CallMetadata, RunReport } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { RESULT_HEADER } from '../../src/mesh/peerMessages.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText, brandVersion } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { SlowLink } from '../../standins/mesh/slowLink.js';
import { NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const REQUEST = { method: 'POST', path: '/x', headers: ['Host', 'h'], body: Buffer.from('body') };

function buildMetadata(attemptId: string, remainingMs = 2000): CallMetadata {
  return {
    attemptId,
    requestId: 'r',
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs: performance.now() + remainingMs,
    objectiveAtMs: performance.now() + remainingMs,
  };
}

/**
 * Opens a proxy that resets the first connection after `arm` was called, or forwards no response on
 * it. Earlier connections are sound.
 */
async function openProxy(
  port: number,
  fault: 'reset-on-request' | 'reset-on-response' | 'no-response',
) {
  const sockets = new Set<Socket>();
  let isArmed = false;
  let faulty: Socket | undefined;
  const proxy = createServer((client) => {
    const isFirst = isArmed && faulty === undefined;
    if (isFirst) faulty = client;
    const server = connect(port, '127.0.0.1');
    for (const socket of [client, server]) {
      sockets.add(socket);
      socket.on('error', () => {});
    }
    client.on('close', () => server.destroy());
    client.on('data', (chunk) => {
      if (isFirst && fault === 'reset-on-request') client.resetAndDestroy();
      else server.write(chunk);
    });
    server.on('data', (chunk) => {
      if (!isFirst || fault === 'reset-on-request') client.write(chunk);
      else if (fault === 'reset-on-response') client.resetAndDestroy();
    });
  });
  await new Promise<void>((resolve) => {
    proxy.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (proxy.address() as AddressInfo).port,
    arm() {
      isArmed = true;
    },
    resetFaulty: () => faulty?.resetAndDestroy(),
    close() {
      for (const socket of sockets) socket.destroy();
      proxy.close();
    },
  };
}

interface Case {
  readonly fault: 'reset-on-request' | 'reset-on-response' | 'no-response';
  readonly processId: string;
  readonly kind: string;
  readonly runs: number;
}

const CASES: readonly Case[] = [
  { fault: 'reset-on-request', processId: 'p-1', kind: 'notRun', runs: 0 },
  { fault: 'reset-on-response', processId: 'p-1', kind: 'answered', runs: 1 },
  { fault: 'no-response', processId: 'p-1', kind: 'answered', runs: 1 },
  { fault: 'reset-on-request', processId: 'p-0', kind: 'unknown', runs: 0 },
];
for (const { fault, processId, kind, runs } of CASES) {
  test(`a call over a connection with ${fault} to process ${processId} is ${kind}`, async () => {
    let runCount = 0;
    let onRun = () => {};
    const runner = {
      async run(): Promise<RunReport> {
        runCount += 1;
        onRun();
        await new Promise((resolve) => {
          setTimeout(resolve, 150);
        });
        const response = { status: 200, headers: [], body: Buffer.from('done') };
        return { result: { kind: 'answered', response }, load: undefined };
      },
      getLoad: () => undefined,
    };
    const server = createPeerPort({
      runner: runner as unknown as LocalRunner,
      processId: 'p-1',
      ...PEER_PORT_PARTS,
    });
    const port = await openServer(server, '127.0.0.1', 0);
    const proxy = await openProxy(port, fault);
    const calls = new PeerCalls({ host: '127.0.0.1', port: proxy.port }, NO_REVISIONS);
    const send = (id: string) =>
      calls.send(REQUEST, buildMetadata(id), processId, new Cancellation(), () => {});
    // The first call to a process tells its clock; the fault is on the way of a later one.
    assert.equal((await send('c-0')).result.kind, 'answered');
    calls.close();
    runCount = 0;
    proxy.arm();
    if (fault === 'reset-on-response') onRun = () => proxy.resetFaulty();
    const { result } = await send('c-1');
    assert.equal(result.kind, kind);
    if (result.kind === 'answered') assert.equal(result.response.body.toString(), 'done');
    assert.equal(runCount, runs);
    calls.close();
    proxy.close();
    await closeServer(server);
  });
}

test('a call to an unreachable node is reported as not run', async () => {
  const calls = new PeerCalls({ host: '127.0.0.1', port: 1 }, NO_REVISIONS);
  const metadata = buildMetadata('c-1');
  const { result, hasResponded } = await calls.send(
    REQUEST,
    metadata,
    'p',
    new Cancellation(),
    () => {},
  );
  assert.equal(result.kind === 'notRun' && result.reason, 'unreachable');
  assert.equal(hasResponded, false);
});

test('an idempotent call to an unresponsive node ends early and is reported', async () => {
  const hangingServer = createServer((socket) => {
    socket.on('error', () => {});
  });
  await new Promise<void>((resolve) => {
    hangingServer.listen(0, '127.0.0.1', resolve);
  });
  const { port } = hangingServer.address() as AddressInfo;
  const calls = new PeerCalls({ host: '127.0.0.1', port }, NO_REVISIONS);
  const metadata = { ...buildMetadata('c-1', 5000), isIdempotent: true };
  const startedAtMs = performance.now();
  let unresponsiveCount = 0;
  const { result } = await calls.send(REQUEST, metadata, 'p', new Cancellation(), () => {
    unresponsiveCount += 1;
  });
  assert.equal(result.kind, 'unknown');
  assert.ok(performance.now() - startedAtMs < 1500);
  assert.equal(unresponsiveCount, 1);
  calls.close();
  hangingServer.close();
});

test('an idempotent call that cannot be sent again waits for a slow node', async () => {
  const delayMs = 1300;
  const server = createServer((socket) => {
    socket.on('error', () => {});
    const result = JSON.stringify({ kind: 'answered' });
    const head = `HTTP/1.1 200 OK\r\n${RESULT_HEADER}: ${result}\r\n`;
    const answer = `${head}Content-Length: 4\r\n\r\ndone`;
    socket.once('data', () => setTimeout(() => socket.write(answer), delayMs));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const calls = new PeerCalls({ host: '127.0.0.1', port }, NO_REVISIONS);
  const metadata = { ...buildMetadata('c-1', 3000), isIdempotent: true };
  const { result } = await calls.send(
    REQUEST,
    metadata,
    'p',
    new Cancellation(),
    () => {},
    () => false,
  );
  assert.equal(result.kind, 'answered');
  calls.close();
  server.close();
});

test('an answer that arrives slowly is read to its end', async () => {
  const removed = Array.from({ length: 1500 }, () => randomUUID());
  const delta = { routes: [], removed, revision: 3 } as unknown as ConfigDelta;
  const server = createPeerPort({
    runner: {} as LocalRunner,
    processId: 'p-1',
    ...PEER_PORT_PARTS,
    changeAnswers: {
      ...PEER_PORT_PARTS.changeAnswers,
      configAnswers: { answer: async () => ({ kind: 'changed', revision: 3, delta }) },
    },
  });
  const link = new SlowLink(await openServer(server, '127.0.0.1', 0), 25_000);
  const calls = new PeerCalls({ host: '127.0.0.1', port: await link.listen() }, NO_REVISIONS);
  const startedAtMs = performance.now();
  try {
    const request = { version: brandVersion(1), revision: 2, canConfirm: false, waitMs: 100 };
    const answer = await calls.requestConfig(request, (error) => assert.fail(error));
    assert.deepEqual(answer, { kind: 'changed', revision: 3, delta });
    assert.ok(performance.now() - startedAtMs > 600, 'the answer took longer than its timeout');
  } finally {
    calls.close();
    await link.close();
    await closeServer(server);
  }
});
