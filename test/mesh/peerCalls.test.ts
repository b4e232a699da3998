/** Calls between nodes over connections that break: one run, and its response is not lost. */
import assert from 'node:assert/strict';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { CallMetadata, RunReport } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { SeenRevisions } from '../../src/mesh/seenRevisions.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { HEADER_NAMES } from '../../platform/names.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';

const UNSEEN = new SeenRevisions([]);

const REQUEST = { method: 'POST', path: '/x', headers: ['Host', 'h'], body: Buffer.from('body') };

function buildTerms(attemptId: string, leftMs = 2000): CallMetadata {
  return {
    attemptId,
    requestId: 'r',
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs: performance.now() + leftMs,
    objectiveAtMs: performance.now() + leftMs,
  };
}

/** A proxy that can cut or silence its first connection. */
async function openProxy(port: number, fault: 'cut-request' | 'cut-response' | 'silent') {
  const sockets = new Set<Socket>();
  let connections = 0;
  const proxy = createServer((client) => {
    connections += 1;
    const isFirst = connections === 1;
    const server = connect(port, '127.0.0.1');
    for (const socket of [client, server]) {
      sockets.add(socket);
      socket.on('error', () => {});
    }
    client.on('close', () => server.destroy());
    client.on('data', (chunk) => {
      if (isFirst && fault === 'cut-request') client.resetAndDestroy();
      else server.write(chunk);
    });
    server.on('data', (chunk) => {
      if (!isFirst || fault === 'cut-request') client.write(chunk);
      else if (fault === 'cut-response') client.resetAndDestroy();
    });
    if (isFirst && fault === 'cut-response') setTimeout(() => client.resetAndDestroy(), 50);
  });
  await new Promise<void>((resolve) => {
    proxy.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (proxy.address() as AddressInfo).port,
    close() {
      for (const socket of sockets) socket.destroy();
      proxy.close();
    },
  };
}

interface Case {
  readonly fault: 'cut-request' | 'cut-response' | 'silent';
  readonly processId: string;
  readonly kind: string;
  readonly runs: number;
}

const CASES: readonly Case[] = [
  { fault: 'cut-request', processId: 'p-1', kind: 'notRun', runs: 0 },
  { fault: 'cut-response', processId: 'p-1', kind: 'answered', runs: 1 },
  { fault: 'silent', processId: 'p-1', kind: 'answered', runs: 1 },
  { fault: 'cut-request', processId: 'p-0', kind: 'unknown', runs: 0 },
];
for (const { fault, processId, kind, runs } of CASES) {
  test(`a call over a connection with ${fault} to process ${processId} is ${kind}`, async () => {
    let count = 0;
    const runner = {
      async run(): Promise<RunReport> {
        count += 1;
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
      names: HEADER_NAMES,
      seen: UNSEEN,
    });
    const port = await openServer(server, '127.0.0.1', 0);
    const proxy = await openProxy(port, fault);
    const calls = new PeerCalls({ host: '127.0.0.1', port: proxy.port }, UNSEEN);
    const { result } = await calls.send(
      REQUEST,
      buildTerms('c-1'),
      processId,
      new Cancellation(),
      () => {},
    );
    assert.equal(result.kind, kind);
    if (result.kind === 'answered') assert.equal(result.response.body.toString(), 'done');
    assert.equal(count, runs);
    calls.close();
    proxy.close();
    await closeServer(server);
  });
}

test('a node that cannot be reached has not run the call', async () => {
  const calls = new PeerCalls({ host: '127.0.0.1', port: 1 }, UNSEEN);
  const terms = buildTerms('c-1');
  const { result, hasResponded } = await calls.send(
    REQUEST,
    terms,
    'p',
    new Cancellation(),
    () => {},
  );
  assert.equal(result.kind === 'notRun' && result.reason, 'unreachable');
  assert.equal(hasResponded, false);
});

test('a repeatable call to a frozen node ends early, and the node is avoided', async () => {
  const frozen = createServer((socket) => {
    socket.on('error', () => {});
  });
  await new Promise<void>((resolve) => {
    frozen.listen(0, '127.0.0.1', resolve);
  });
  const { port } = frozen.address() as AddressInfo;
  const calls = new PeerCalls({ host: '127.0.0.1', port }, UNSEEN);
  const terms = { ...buildTerms('c-1', 5000), isIdempotent: true };
  const startedAtMs = performance.now();
  let silences = 0;
  const { result } = await calls.send(REQUEST, terms, 'p', new Cancellation(), () => {
    silences += 1;
  });
  assert.equal(result.kind, 'unknown');
  assert.ok(performance.now() - startedAtMs < 1500);
  assert.equal(silences, 1);
  calls.close();
  frozen.close();
});
