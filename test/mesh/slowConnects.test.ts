/** Calls for an instance that does not accept connections before their deadline. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { Cancellation } from '../../src/mesh/signal.js';
import { buildMetadata, createRunner } from './peerPortParts.js';

const HOST = '127.0.0.1';
const DEADLINE_MS = 100;

/** Time after the deadline for which a node waits for the result of another one. */
const ACCEPTED_AFTER_MS = 150;

/** Listens with a short accept queue and then accepts nothing, since its thread is blocked. */
const BLOCKED_LISTENER = `
  const { createServer } = require('node:net');
  const { parentPort } = require('node:worker_threads');
  const server = createServer();
  server.listen({ host: '${HOST}', port: 0, backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
  });
`;

/** Opens connections until one is not accepted any more. */
async function fillAcceptQueue(port: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  for (;;) {
    const socket = connect({ host: HOST, port });
    sockets.push(socket);
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.on('error', () => {});
      socket.once('connect', () => resolve(true));
      setTimeout(() => resolve(false), 300).unref();
    });
    if (!isOpen) return sockets;
  }
}

// Guards against a call that has reached no instance and whose result comes so late that the node
// that waits for it has already reported it as possibly run.
test('a call is refused at its deadline while it connects to the instance', async () => {
  const worker = new Worker(BLOCKED_LISTENER, { eval: true });
  const [port] = (await once(worker, 'message')) as [number];
  const sockets = await fillAcceptQueue(port);
  const runner = createRunner(port);
  const startedAtMs = performance.now();
  const deadlineAtMs = startedAtMs + DEADLINE_MS;
  try {
    const { result } = await runner.run(
      { method: 'GET', path: '/x', headers: ['Host', 'h'], body: Buffer.alloc(0) },
      buildMetadata(deadlineAtMs),
      new Cancellation(),
    );
    assert.equal(result.kind === 'notRun' && result.reason, 'deadline', JSON.stringify(result));
    const elapsedMs = performance.now() - startedAtMs;
    assert.ok(elapsedMs < DEADLINE_MS + ACCEPTED_AFTER_MS, `${elapsedMs} ms`);
  } finally {
    runner.close();
    for (const socket of sockets) socket.destroy();
    await worker.terminate();
  }
});
