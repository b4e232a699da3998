/** Reports over real peer ports: they are answered, and the next node takes over. */
import assert from 'node:assert/strict';
import { get, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import {
  createCoordination,
  type Coordination,
} from '../../../src/mesh/coordination/createCoordination.js';
import type { CoordinatorReport } from '../../../src/mesh/coordination/model.js';
import { encodeReport } from '../../../src/mesh/coordination/reportCodec.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import type { LocalRunner } from '../../../src/mesh/localRunner.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import type { MeshConfig, MeshSettings } from '../../../src/mesh/model.js';
import { PeerCalls } from '../../../src/mesh/peerCalls.js';
import type { PeerNode } from '../../../src/mesh/peerNode.js';
import { createPeerPort } from '../../../src/mesh/peerPort.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { closeServer, openServer } from '../../../standins/http.js';
import { NO_REVISIONS, PEER_PORT_PARTS } from '../peerPortParts.js';
import { buildAccount, POLICY } from '../quotas/quotaMesh.js';

const ACCOUNT = buildAccount('a', 100, 100);
const CONFIG = { version: 1, accounts: [ACCOUNT] } as unknown as MeshConfig;

interface ReportingNode {
  readonly coordination: Coordination;
  readonly server: Server;
  readonly metrics: MeshMetrics;
  isStopping: boolean;
}

async function waitFor(isDone: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 400; tries += 1) {
    if (await isDone()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  throw new Error('not within 8 s');
}

/** Starts nodes that know each other; the first one has the fastest link. */
async function withNodes(
  config: MeshConfig,
  run: (nodes: ReportingNode[]) => Promise<void>,
): Promise<void> {
  const ids = ['n-0', 'n-1', 'n-2'].map((name) => brandText<NodeId>(name));
  const nodes: ReportingNode[] = [];
  const ports: number[] = [];
  const allCalls: PeerCalls[] = [];
  for (const nodeId of ids) {
    const peers: PeerNode[] = [];
    const metrics = new MeshMetrics();
    const node = { metrics, isStopping: false } as {
      -readonly [Key in keyof ReportingNode]: ReportingNode[Key];
    };
    node.coordination = createCoordination({
      getSettings: () => ({ nodeId, quota: POLICY }) as MeshSettings,
      getConfig: () => config,
      processId: `p-${nodeId}`,
      directory: {
        listReadyIds: () => [...ids],
        listResponding: () => {
          if (peers.length > 0) return peers;
          for (const [index, peerId] of ids.entries()) {
            const address = { host: '127.0.0.1', port: ports[index]! };
            const calls = new PeerCalls(address, NO_REVISIONS);
            allCalls.push(calls);
            const record = { nodeId: peerId, linkMbps: 100 - index };
            peers.push({ record, calls } as unknown as PeerNode);
          }
          return peers;
        },
      },
      hasReceivedList: () => true,
      isStopping: () => node.isStopping,
      log: SILENT_LOG,
      metrics,
    });
    node.server = createPeerPort({
      runner: {} as LocalRunner,
      processId: `p-${nodeId}`,
      ...PEER_PORT_PARTS,
      reportAnswers: node.coordination.reportAnswers,
    });
    ports.push(await openServer(node.server, '127.0.0.1', 0));
    nodes.push(node);
  }
  for (const { coordination } of nodes) coordination.applyConfig(config);
  try {
    await run(nodes);
  } finally {
    for (const { coordination } of nodes) coordination.close();
    for (const calls of allCalls) calls.close();
    for (const { server } of nodes) {
      server.closeAllConnections();
      await closeServer(server);
    }
  }
}

const isGranted = async ({ coordination }: ReportingNode) =>
  (await coordination.quotas.take(ACCOUNT)).kind === 'granted';

function countChanges({ metrics }: ReportingNode): number {
  return Number(/coordinator_changed\{\} (\d+)/.exec(metrics.render())?.[1] ?? 0);
}

function countLeases({ metrics }: ReportingNode): number {
  return Number(/quota_lease\{\} (\d+)/.exec(metrics.render())?.[1] ?? 0);
}

test('reports are answered by the first node, and by the next one once it stops', async () => {
  await withNodes(CONFIG, async (nodes) => {
    const [first, second, third] = nodes as [ReportingNode, ReportingNode, ReportingNode];
    await waitFor(async () => (await isGranted(second)) && isGranted(third));
    await waitFor(async () => (await isGranted(third)) && countLeases(first) > 0);
    assert.equal(countLeases(second), 0);
    assert.equal(countChanges(third), 1);
    first.isStopping = true;
    await waitFor(async () => (await isGranted(third)) && countLeases(second) > 0);
    assert.equal(countChanges(third), 2);
  });
});

test('a node whose port is closed is replaced while requests wait', async () => {
  await withNodes(CONFIG, async (nodes) => {
    const [first, second, third] = nodes as [ReportingNode, ReportingNode, ReportingNode];
    await waitFor(() => isGranted(third));
    first.coordination.close();
    first.server.closeAllConnections();
    first.server.close();
    await waitFor(async () => (await isGranted(third)) && countLeases(second) > 0);
    assert.ok(countChanges(third) >= 2);
  });
});

test('a large report is answered; a malformed or delayed one is refused', async () => {
  await withNodes(CONFIG, async (nodes) => {
    const { port } = nodes[0]!.server.address() as AddressInfo;
    const calls = new PeerCalls({ host: '127.0.0.1', port }, NO_REVISIONS);
    const accounts = Array.from({ length: 1000 }, (_, index) => buildAccount(`a-${index}`, 1, 1));
    const report: CoordinatorReport = {
      node: brandText('n-9'),
      process: 'p-9',
      steadyMs: 0,
      mayBridge: false,
      needs: [...accounts, ACCOUNT].map(({ name }) => ({ account: name, tokens: 1 })),
      returns: [],
      holds: [],
    };
    const answer = await calls.sendReport(report, (error) => assert.fail(error));
    assert.deepEqual(
      answer?.grants.map(({ account }) => account),
      ['a'],
    );
    calls.close();
    const { text } = await encodeReport({ ...report, needs: [] });
    const send = (headers: Record<string, string>) =>
      new Promise<number | undefined>((resolve, reject) => {
        const request = get({ host: '127.0.0.1', port, headers }, (response) => {
          response.resume();
          resolve(response.statusCode);
        });
        request.once('error', reject);
      });
    const late = (ageMs: number) => `p-n-0.0:${(performance.now() - ageMs).toFixed(1)}`;
    assert.equal(await send({ 'mesh-coordinator': '{"node":7}' }), 400);
    assert.equal(await send({ 'mesh-coordinator': text, 'mesh-clock': late(10) }), 200);
    assert.equal(await send({ 'mesh-coordinator': text, 'mesh-clock': late(400) }), 503);
  });
});

test('a report whose sender is gone before its end is not waited for', async () => {
  await withNodes(CONFIG, async (nodes) => {
    const { port } = nodes[0]!.server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    const headers = ['Host: n-0', 'mesh-coordinator: deflated', 'Content-Length: 5000'];
    socket.write(`POST / HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\nfirst bytes`);
    let isClosed = false;
    socket.on('error', () => {});
    socket.once('close', () => {
      isClosed = true;
    });
    try {
      await waitFor(() => isClosed);
    } finally {
      socket.destroy();
    }
  });
});

test('without an account that has a limit, nothing is sent', async () => {
  const config = { version: 1, accounts: [buildAccount('u', 0, 0)] } as unknown as MeshConfig;
  await withNodes(config, async (nodes) => {
    let requests = 0;
    const countRequest = () => {
      requests += 1;
    };
    for (const { server } of nodes) server.on('request', countRequest);
    await new Promise((resolve) => {
      setTimeout(resolve, 600);
    });
    assert.equal(requests, 0);
  });
});
