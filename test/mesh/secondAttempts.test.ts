/** Calls to a process whose clock is not known: the attempts of one call run once at most. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { RunReport } from '../../src/mesh/model.js';
import { PeerCalls, type PeerReport } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { closeServer, openServer } from '../../standins/http.js';
import { wait } from '../../standins/mesh/meshFleet.js';
import { NO_REVISIONS, PEER_PORT_PARTS, buildMetadata } from './peerPortParts.js';

const HOST = '127.0.0.1';
const PROCESS_ID = 'p-1';
const DEADLINE_MS = 4000;
const RUN_MS = 100;

/** Longer than the time after which a call is probed on a second connection. */
const HELD_MS = 1200;

/** What a proxy does with the bytes of its first connection. */
type FirstConnection = 'open' | 'hold-requests' | 'drop-responses' | 'reset-on-response';

async function openProxy(targetPort: number, first: FirstConnection) {
  const sockets = new Set<Socket>();
  let connections = 0;
  const proxy = createServer((client) => {
    connections += 1;
    const fault = connections === 1 ? first : 'open';
    const server = connect({ port: targetPort, host: HOST });
    for (const socket of [client, server]) {
      sockets.add(socket);
      socket.on('error', () => {});
    }
    // A held request arrives although its sender has closed the connection.
    client.once('close', () => fault === 'hold-requests' || server.resetAndDestroy());
    client.on('data', (bytes) => {
      if (fault === 'hold-requests') setTimeout(() => server.write(bytes), HELD_MS);
      else server.write(bytes);
    });
    server.on('data', (bytes) => {
      if (fault === 'reset-on-response') client.resetAndDestroy();
      else if (fault === 'open') client.write(bytes);
    });
  });
  proxy.listen(0, HOST);
  await once(proxy, 'listening');
  return {
    port: (proxy.address() as AddressInfo).port,
    close() {
      for (const socket of sockets) socket.destroy();
      proxy.close();
    },
  };
}

/** Sends one call through a proxy; returns its report and the attempts that were run. */
async function sendOnce(
  first: FirstConnection,
  cancellation = new Cancellation(),
): Promise<{ readonly report: PeerReport; readonly attempts: readonly string[] }> {
  const attempts: string[] = [];
  const runner = {
    async run(_request: unknown, { attemptId }: { attemptId: string }): Promise<RunReport> {
      attempts.push(attemptId);
      await wait(RUN_MS);
      const response = { status: 200, headers: [], body: Buffer.from('done') };
      return { result: { kind: 'answered', response }, load: undefined };
    },
    getLoad: () => undefined,
  };
  const server = createPeerPort({
    runner: runner as unknown as LocalRunner,
    processId: PROCESS_ID,
    ...PEER_PORT_PARTS,
  });
  const proxy = await openProxy(await openServer(server, HOST, 0), first);
  const calls = new PeerCalls({ host: HOST, port: proxy.port }, NO_REVISIONS);
  const deadlineAtMs = performance.now() + DEADLINE_MS;
  const report = await calls.send(
    { method: 'POST', path: '/', headers: ['Host', 'h'], body: Buffer.from('body') },
    buildMetadata(deadlineAtMs, 'origin.1'),
    PROCESS_ID,
    cancellation,
    () => {},
    () => false,
  );
  // By now a held request has arrived, too.
  await wait(HELD_MS + RUN_MS);
  calls.close();
  proxy.close();
  await closeServer(server);
  return { report, attempts };
}

for (const first of ['open', 'reset-on-response', 'drop-responses'] as const) {
  test(`a first call is run once when its refusal meets ${first}`, async () => {
    const { report, attempts } = await sendOnce(first);
    assert.equal(report.result.kind, 'answered');
    assert.equal(attempts.length, 1);
  });
}

test('a first call that is overtaken by its probe is not run after it was settled', async () => {
  const { report, attempts } = await sendOnce('hold-requests');
  if (report.result.kind === 'notRun') assert.deepEqual(attempts, []);
  else assert.equal(attempts.length, 1);
});

test('a first call whose caller leaves before its refusal gets no second attempt', async () => {
  const cancellation = new Cancellation();
  setTimeout(() => cancellation.cancel(), HELD_MS / 4);
  const { attempts } = await sendOnce('drop-responses', cancellation);
  assert.deepEqual(attempts, []);
});
