/** Results of nodes that are cut at each of their bytes. */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { CallMetadata, RunReport, RunResult } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { CUT_ENDINGS, writeCut } from '../../standins/mesh/instanceServer.js';
import { NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const REQUEST = { method: 'POST', path: '/x', headers: ['Host', 'h'], body: Buffer.from('body') };
const DEADLINE_MS = 10_000;

function buildMetadata(attemptId: string): CallMetadata {
  return {
    attemptId,
    requestId: 'r',
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs: performance.now() + DEADLINE_MS,
    objectiveAtMs: performance.now() + DEADLINE_MS,
  };
}

/** Node between whose port and the caller `relay` handles the bytes of each result. */
interface Node {
  relay: (client: Socket, result: Buffer, connectionIndex: number) => void;
  runs: string[];
  /** Connections since the last call of `send`. */
  connections: number;
  send: (attemptId: string) => Promise<RunResult>;
}

async function withNode(run: (node: Node) => Promise<void>): Promise<void> {
  const runs: string[] = [];
  const runner = {
    async run(_request: unknown, { attemptId }: CallMetadata): Promise<RunReport> {
      runs.push(attemptId);
      const response = { status: 200, headers: [], body: Buffer.from(`done ${attemptId}`) };
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
  const sockets = new Set<Socket>();
  const node: Node = {
    relay: (client, result) => client.write(result),
    runs,
    connections: 0,
    send: async () => ({ kind: 'unknown', reason: 'not started' }),
  };
  const proxy = createServer((client) => {
    const index = node.connections;
    node.connections += 1;
    const upstream = connect(port, '127.0.0.1');
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.on('error', () => {});
    }
    client.on('close', () => upstream.destroy());
    client.on('data', (chunk) => upstream.write(chunk));
    upstream.on('data', (chunk) => node.relay(client, chunk, index));
  });
  await new Promise<void>((resolve) => {
    proxy.listen(0, '127.0.0.1', resolve);
  });
  const address = { host: '127.0.0.1', port: (proxy.address() as AddressInfo).port };
  const calls = new PeerCalls(address, NO_REVISIONS);
  node.send = async (attemptId) => {
    const metadata = buildMetadata(attemptId);
    return (await calls.send(REQUEST, metadata, 'p-1', new Cancellation(), () => {})).result;
  };
  try {
    // The first call to a process tells its clock; what is cut is the result of a later one.
    await node.send('p.0');
    calls.close();
    runs.length = 0;
    node.connections = 0;
    await run(node);
  } finally {
    calls.close();
    for (const socket of sockets) socket.destroy();
    proxy.close();
    await closeServer(server);
  }
}

function getBody(result: RunResult): string | undefined {
  return result.kind === 'answered' ? result.response.body.toString() : undefined;
}

test('a result that is cut at any byte is read as a whole on a second connection', async () => {
  for (const ending of CUT_ENDINGS) {
    const whole = { length: 1 };
    for (let length = 0; length < whole.length; length += 1) {
      await withNode(async (node) => {
        const target = node;
        target.relay = (client, result, index) => {
          if (index > 0) client.write(result);
          else {
            whole.length = result.length;
            writeCut(client, result.toString('latin1', 0, length), ending);
          }
        };
        assert.equal(getBody(await node.send('p.1')), 'done p.1', `${length} bytes, ${ending}`);
        assert.deepEqual(node.runs, ['p.1']);
      });
    }
    assert.ok(whole.length > 100);
  }
});

test('a result that is cut at any byte on every connection is unknown', async () => {
  for (const ending of CUT_ENDINGS) {
    const whole = { length: 1 };
    for (let length = 0; length < whole.length; length += 1) {
      await withNode(async (node) => {
        const target = node;
        target.relay = (client, result, index) => {
          if (index === 0) whole.length = result.length;
          writeCut(
            client,
            result.toString('latin1', 0, Math.min(length, result.length - 1)),
            ending,
          );
        };
        assert.equal((await node.send('p.1')).kind, 'unknown', `${length} bytes, ${ending}`);
        assert.deepEqual(node.runs, ['p.1']);
      });
    }
  }
});
