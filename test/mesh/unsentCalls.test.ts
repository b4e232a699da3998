/**
 * Calls between nodes whose last part was not written to a connection, or that their node received
 * but says it did not run. They must end as not run, or their callers could not send them again;
 * any other call without a response must not, or its caller would run it twice.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import type { CallMetadata, RunResult } from '../../src/mesh/model.js';
import { RESULT_HEADER } from '../../src/mesh/peerMessages.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { NO_REVISIONS } from './peerPortParts.js';

const HOST = '127.0.0.1';
const SMALL_BYTES = 10;
const LARGE_BYTES = 50_000;
const DEADLINE_MS = 250;

function buildMetadata(isIdempotent: boolean, remainingMs: number): CallMetadata {
  return {
    attemptId: 'p.1',
    requestId: 'r',
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent,
    priority: 0,
    deadlineAtMs: performance.now() + remainingMs,
    objectiveAtMs: performance.now() + remainingMs,
  };
}

/** What a raw server does with the bytes that it receives. */
type Script = (socket: Socket, text: string, connectionIndex: number) => void;

async function startServer(script: Script) {
  const sockets = new Set<Socket>();
  const received: string[] = [];
  const server = createServer((socket) => {
    const index = sockets.size;
    sockets.add(socket);
    received.push('');
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      received[index] += bytes.toString('latin1');
      script(socket, received[index]!, index);
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    received,
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

interface Case {
  readonly name: string;
  readonly bodyBytes: number;
  readonly script: Script;
  readonly expected: Partial<RunResult>;
  readonly deadlineMs?: number;
  readonly isIdempotent?: boolean;
  /** Time after which the call is cancelled. */
  readonly cancelAfterMs?: number;
}

const SILENT: Script = () => {};
const RESETTING: Script = (socket) => socket.resetAndDestroy();
const ASKING: Script = (socket, text) => {
  if (text.endsWith('\r\n\r\n')) socket.write('HTTP/1.1 100 Continue\r\n\r\n');
};
const UNSENT = { kind: 'notRun', hasArrived: false } as const;

const CASES: readonly Case[] = [
  {
    name: 'whose body was not asked for before the deadline',
    bodyBytes: LARGE_BYTES,
    script: SILENT,
    expected: { ...UNSENT, reason: 'deadline' },
  },
  {
    name: 'that is cancelled before its body was asked for',
    bodyBytes: LARGE_BYTES,
    script: SILENT,
    expected: { ...UNSENT, reason: 'cancelled' },
    deadlineMs: 5000,
    cancelAfterMs: 100,
  },
  {
    name: 'whose connections fail before its body was asked for',
    bodyBytes: LARGE_BYTES,
    script: RESETTING,
    expected: { ...UNSENT, reason: 'unreachable' },
    deadlineMs: 5000,
  },
  {
    name: 'whose body was not asked for by a node that does not respond to a probe',
    bodyBytes: LARGE_BYTES,
    script: SILENT,
    expected: { ...UNSENT, reason: 'unreachable' },
    deadlineMs: 5000,
    isIdempotent: true,
  },
  {
    name: 'whose body was sent but not responded to before the deadline',
    bodyBytes: LARGE_BYTES,
    script: ASKING,
    expected: { kind: 'unknown', reason: 'deadline' },
  },
  {
    name: 'that is cancelled after its body was sent',
    bodyBytes: LARGE_BYTES,
    script: ASKING,
    expected: { kind: 'unknown', reason: 'cancelled' },
    deadlineMs: 5000,
    cancelAfterMs: 200,
  },
  {
    name: 'with a small body that is not responded to before the deadline',
    bodyBytes: SMALL_BYTES,
    script: SILENT,
    expected: { kind: 'unknown', reason: 'deadline' },
  },
  {
    name: 'with a small body that is cancelled on its way',
    bodyBytes: SMALL_BYTES,
    script: SILENT,
    expected: { kind: 'unknown', reason: 'cancelled' },
    deadlineMs: 5000,
    cancelAfterMs: 100,
  },
  {
    name: 'with a small body whose connections fail',
    bodyBytes: SMALL_BYTES,
    script: RESETTING,
    expected: { kind: 'unknown', reason: 'connection lost' },
    deadlineMs: 5000,
  },
];

for (const { name, bodyBytes, script, expected, ...options } of CASES) {
  const { deadlineMs = DEADLINE_MS, isIdempotent = false, cancelAfterMs } = options;
  test(`a call ${name} is ${expected.kind}`, async () => {
    const server = await startServer(script);
    const calls = new PeerCalls({ host: HOST, port: server.port }, NO_REVISIONS);
    const cancellation = new Cancellation();
    if (cancelAfterMs !== undefined) setTimeout(() => cancellation.cancel(), cancelAfterMs);
    try {
      const { result, hasResponded } = await calls.send(
        { method: 'POST', path: '/x', headers: ['Host', 'h'], body: Buffer.alloc(bodyBytes) },
        buildMetadata(isIdempotent, deadlineMs),
        'p-1',
        cancellation,
        () => {},
      );
      assert.equal(hasResponded, false);
      for (const [key, value] of Object.entries(expected)) {
        assert.equal(result[key as keyof RunResult], value, JSON.stringify(result));
      }
    } finally {
      calls.close();
      server.close();
    }
  });
}

for (const [name, endEarly, reason] of [
  ['deadline passes', false, 'deadline'],
  ['call is cancelled', true, 'cancelled'],
] as const) {
  test(`a call is not run, and not sent later, if the ${name} while it connects`, async () => {
    const server = await startServer(SILENT);
    const calls = new PeerCalls({ host: HOST, port: server.port }, NO_REVISIONS);
    const cancellation = new Cancellation();
    // The connection cannot open before the call has ended, since the event loop is blocked.
    const remainingMs = endEarly ? 5000 : -1000;
    const request = { method: 'POST', path: '/x', headers: ['Host', 'h'], body: Buffer.alloc(1) };
    const sent = calls.send(
      request,
      buildMetadata(false, remainingMs),
      'p-1',
      cancellation,
      () => {},
    );
    if (endEarly) cancellation.cancel();
    else {
      const blockedUntilMs = performance.now() + 200;
      while (performance.now() < blockedUntilMs);
    }
    try {
      const { result } = await sent;
      assert.deepEqual(
        { kind: result.kind, reason: result.kind === 'notRun' && result.reason },
        { kind: 'notRun', reason },
      );
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      assert.deepEqual(server.received.join(''), '');
    } finally {
      calls.close();
      server.close();
    }
  });
}

test('a call is not attempted again after its deadline, which delays its refusal', async () => {
  // The refusal arrives after the deadline, within the time for which results are accepted.
  const refusal = JSON.stringify({ kind: 'notRun', reason: 'cancelled', retryAfterMs: 0 });
  const server = await startServer((socket, _text, index) => {
    if (index > 0 || server.received.join('').match(/POST/g)!.length > 1) return;
    const head = `HTTP/1.1 503 X\r\n${RESULT_HEADER}: ${refusal}\r\nContent-Length: 0\r\n\r\n`;
    setTimeout(() => socket.write(head), DEADLINE_MS + 20);
  });
  const calls = new PeerCalls({ host: HOST, port: server.port }, NO_REVISIONS);
  const request = { method: 'POST', path: '/x', headers: ['Host', 'h'], body: Buffer.alloc(1) };
  try {
    const metadata = buildMetadata(false, DEADLINE_MS);
    const { result } = await calls.send(request, metadata, 'p-1', new Cancellation(), () => {});
    assert.equal(result.kind === 'notRun' && result.reason, 'cancelled');
    assert.equal(server.received.join('').match(/POST/g)!.length, 1);
  } finally {
    calls.close();
    server.close();
  }
});
