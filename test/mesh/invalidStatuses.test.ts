/**
 * Responses of instances and nodes whose status is not a number from 100 to 599, and interim
 * responses without a final one. The request may have run, so it must end as unknown: none of them
 * may reach a caller or another node as a response, and none may end a process.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { InstanceClient } from '../../src/mesh/instanceClient.js';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { CallMetadata, RunReport, RunResult } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import {
  decodeResult,
  encodeMetadata,
  encodeResult,
  METADATA_HEADER,
  RESULT_HEADER,
} from '../../src/mesh/peerMessages.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import {
  INVALID_INTERIMS,
  INVALID_STATUS_LINES,
  UNFINISHED_INTERIMS,
} from '../../standins/invalidStatusLines.js';
import { createRunner, NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const HOST = '127.0.0.1';
const ID = 'r-1';
const BODY = 'done';
const PROCESS_ID = 'p-1';
const REQUEST = {
  method: 'GET',
  path: '/x',
  headers: ['Host', 'h', HEADER_NAMES.requestId, ID],
  body: Buffer.alloc(0),
};

/** Header lines by which both an instance and a node answer the request, with its body. */
const REST =
  `${HEADER_NAMES.requestId}: ${ID}\r\n${HEADER_NAMES.signature}: signed\r\n` +
  `${RESULT_HEADER}: {"kind":"answered"}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;

function buildMetadata(remainingMs: number): CallMetadata {
  const deadlineAtMs = performance.now() + remainingMs;
  return {
    attemptId: 'p.1',
    requestId: ID,
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs,
    objectiveAtMs: deadlineAtMs,
  };
}

/** Runs a function with the port of a server that responds to each request with these bytes. */
async function withServer<Value>(
  bytes: string,
  run: (port: number) => Promise<Value>,
): Promise<Value> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', () => socket.write(bytes, 'latin1'));
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  try {
    return await run((server.address() as AddressInfo).port);
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

type Send = (port: number, remainingMs: number) => Promise<RunResult>;

const sendToInstance: Send = async (port, remainingMs) => {
  const client = new InstanceClient({ host: HOST, port }, HEADER_NAMES, () => {});
  try {
    return await client.run(REQUEST, buildMetadata(remainingMs), new Cancellation());
  } finally {
    client.close();
  }
};

const sendToNode: Send = async (port, remainingMs) => {
  const calls = new PeerCalls({ host: HOST, port }, NO_REVISIONS);
  const metadata = buildMetadata(remainingMs);
  try {
    const cancellation = new Cancellation();
    return (await calls.send(REQUEST, metadata, PROCESS_ID, cancellation, () => {})).result;
  } finally {
    calls.close();
  }
};

/** Sends to a node whose instance responds; the result is what passes between the nodes. */
const sendThroughNode: Send = async (port, remainingMs) => {
  const runner = createRunner(port);
  const server = createPeerPort({ ...PEER_PORT_PARTS, runner, processId: PROCESS_ID });
  try {
    return await sendToNode(await openServer(server, HOST, 0), remainingMs);
  } finally {
    runner.close();
    await closeServer(server);
  }
};

const PATHS: readonly (readonly [name: string, send: Send])[] = [
  ['an instance', sendToInstance],
  ['an instance behind a node', sendThroughNode],
  ['a node', sendToNode],
];

for (const [path, send] of PATHS) {
  for (const status of [200, 404, 500, 599]) {
    test(`the status ${status} of ${path} is passed on`, async () => {
      const start = `HTTP/1.1 ${status} X\r\n`;
      const result = await withServer(`${start}${REST}`, (port) => send(port, 4000));
      assert.equal(result.kind === 'answered' && result.response.status, status);
    });
  }

  for (const { name, start } of [...INVALID_STATUS_LINES, ...INVALID_INTERIMS]) {
    test(`${name} of ${path} is no response`, async () => {
      const startedAtMs = performance.now();
      const result = await withServer(`${start}${REST}`, (port) => send(port, 4000));
      assert.equal(result.kind, 'unknown', JSON.stringify(result));
      assert.ok(performance.now() - startedAtMs < 3000, 'the fault is seen before the deadline');
    });
  }

  for (const { name, start } of UNFINISHED_INTERIMS) {
    test(`${name} of ${path}, and nothing after it, ends at the deadline`, async () => {
      const result = await withServer(start, (port) => send(port, 150));
      assert.equal(result.kind, 'unknown', JSON.stringify(result));
    });
  }
}

/** Sends one call on a bare socket and returns the head of its response. */
async function fetchResult(port: number): Promise<string> {
  const socket = connect({ host: HOST, port });
  const metadata = encodeMetadata(buildMetadata(4000), undefined, performance.now());
  socket.write(`GET /x HTTP/1.1\r\nHost: h\r\n${METADATA_HEADER}: ${metadata}\r\n\r\n`);
  try {
    const [bytes] = (await once(socket, 'data', { signal: AbortSignal.timeout(2000) })) as [Buffer];
    return bytes.toString('latin1');
  } finally {
    socket.destroy();
  }
}

const INVALID_STATUSES = [0, 99, 100, 101, 199, 600, 999, 1000, -200, 200.5, NaN];

for (const status of INVALID_STATUSES) {
  const report: RunReport = {
    result: { kind: 'answered', response: { status, headers: [], body: Buffer.from(BODY) } },
    load: undefined,
  };

  test(`a message between nodes with the status ${status} is no response`, () => {
    const response = { status, headers: [], body: Buffer.from(BODY) };
    assert.equal(decodeResult('{"kind":"answered"}', response)?.result.kind, 'unknown');
    assert.match(encodeResult(report), /"kind":"unknown"/);
  });

  test(`a node does not send the status ${status} of a run to another node`, async () => {
    const runner = { run: async () => report, getLoad: () => undefined };
    const server = createPeerPort({
      ...PEER_PORT_PARTS,
      runner: runner as unknown as LocalRunner,
      processId: PROCESS_ID,
    });
    const port = await openServer(server, HOST, 0);
    try {
      const response = await fetchResult(port);
      assert.match(response, /^HTTP\/1\.1 502 /);
      assert.match(response, /"kind":"unknown"/);
    } finally {
      await closeServer(server);
    }
  });
}
