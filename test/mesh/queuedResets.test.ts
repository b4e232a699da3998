/** Queued calls whose connection is reset although their caller is still there. */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { once } from 'node:events';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import type { CallMetadata } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { InstanceServer } from '../../standins/mesh/instanceServer.js';
import { wait } from '../../standins/mesh/meshFleet.js';
import { createRunner, NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const HOST = '127.0.0.1';
const INSTANCE_ID = 'i-1';
const PROCESS_ID = 'p-1';
const EXECUTION_MS = 400;

/** Opens a proxy whose client connections can be reset. */
async function openProxy(targetPort: number) {
  const clients = new Set<Socket>();
  const proxy = createServer((client) => {
    clients.add(client);
    const server = connect({ port: targetPort, host: HOST });
    for (const [source, target] of [
      [client, server],
      [server, client],
    ] as const) {
      source.on('error', () => {});
      source.on('data', (bytes: Buffer) => target.write(bytes));
      source.once('close', () => target.resetAndDestroy());
    }
    client.once('close', () => clients.delete(client));
  });
  proxy.listen(0, HOST);
  await once(proxy, 'listening');
  return {
    port: (proxy.address() as AddressInfo).port,
    resetAll() {
      for (const client of clients) client.resetAndDestroy();
    },
    close() {
      for (const client of clients) client.destroy();
      proxy.close();
    },
  };
}

function buildMetadata(id: string): CallMetadata {
  const deadlineAtMs = performance.now() + 4000;
  return {
    attemptId: `origin.${id}`,
    requestId: id,
    route: brandText('route'),
    instanceId: brandText(INSTANCE_ID),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs,
    objectiveAtMs: deadlineAtMs,
  };
}

test('a queued call whose connection is reset is still answered by the only instance', async () => {
  const instance = new InstanceServer(INSTANCE_ID);
  const runner = createRunner(await instance.listen());
  const server = createPeerPort({
    runner,
    processId: PROCESS_ID,
    ...PEER_PORT_PARTS,
  });
  const proxy = await openProxy(await openServer(server, HOST, 0));
  const calls = new PeerCalls({ host: HOST, port: proxy.port }, NO_REVISIONS);
  const send = (id: string) =>
    calls.send(
      {
        method: 'GET',
        path: '/',
        headers: ['Host', 'h', HEADER_NAMES.requestId, id],
        body: Buffer.alloc(0),
      },
      buildMetadata(id),
      PROCESS_ID,
      new Cancellation(),
      () => {},
      () => false,
    );
  assert.equal((await send('before')).result.kind, 'answered');
  instance.executionTimeMs = EXECUTION_MS;
  const running = send('running');
  while (instance.runningRequests === 0) await wait(5);
  const queued = send('queued');
  while ((runner.getLoad()?.inFlight ?? 0) < 2) await wait(5);
  proxy.resetAll();
  const reports = await Promise.all([running, queued]);
  calls.close();
  proxy.close();
  runner.close();
  await closeServer(server);
  await instance.close();
  const kinds = reports.map(({ result }) =>
    result.kind === 'notRun' ? result.reason : result.kind,
  );
  assert.deepEqual(kinds, ['answered', 'answered']);
});
