/** A host whose calls arrive late: the calls that it refuses do not make it attractive. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { CallRouter } from '../../src/mesh/callRouter.js';
import { Directory } from '../../src/mesh/directory.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import { MeshMetrics } from '../../src/mesh/meshMetrics.js';
import type { MeshRoute, MeshSettings, NodeRecord, RunReport } from '../../src/mesh/model.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import type { PendingCall } from '../../src/mesh/pendingCall.js';
import { RetryBudget } from '../../src/mesh/retryBudget.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { TargetChooser } from '../../src/mesh/targets.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { HeldLink } from '../../standins/mesh/heldLink.js';
import { OverloadThrottle } from '../../src/mesh/overloadThrottle.js';
import { NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const HOST = '127.0.0.1';
const METRICS = new MeshMetrics();
const SLOTS = 4;

/** Time in transit above the one from which a call is not started. */
const TRANSIT_MS = 450;

const CALLS = 8;

/** Calls that may find out that the host is late. */
const MAX_DELAYED_CALLS = 3;

const ROUTE: MeshRoute = {
  name: brandText('route'),
  host: 'h',
  pathPrefix: '/',
  targets: [{ service: brandText('pads'), weight: 1 }],
  isIdempotent: true,
  timeoutMs: 5000,
  objectiveMs: 600,
  maxAttempts: 3,
  priority: 0,
};

function buildRecord(name: string, port: number): NodeRecord {
  return {
    nodeId: brandText(name),
    incarnation: name,
    dataCentre: brandText('a'),
    address: { host: HOST, port },
    service: brandText('pads'),
    instanceId: brandText(`i-${name}`),
    startedAtMs: 1,
    slots: SLOTS,
    state: 'ready',
  };
}

/** Opens the port of a node whose instance reports `inFlight` requests besides the present ones. */
async function openNode(name: string, inFlight: number) {
  const load = { slots: SLOTS, inFlight, meanMs: 100, failures: 0, limit: undefined };
  const runner = {
    async run(): Promise<RunReport> {
      const response = { status: 200, headers: [], body: Buffer.from(name) };
      return { result: { kind: 'answered', response }, load };
    },
    getLoad: () => load,
  };
  const server = createPeerPort({
    runner: runner as unknown as LocalRunner,
    processId: name,
    ...PEER_PORT_PARTS,
  });
  return { server, port: await openServer(server, HOST, 0) };
}

function buildCall(id: string): PendingCall {
  const startedAtMs = performance.now();
  return {
    route: ROUTE,
    request: { method: 'GET', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(0) },
    requestId: id,
    startedAtMs,
    deadlineAtMs: startedAtMs + ROUTE.timeoutMs,
    objectiveAtMs: startedAtMs + ROUTE.objectiveMs,
    cancellation: new Cancellation(),
    trace: {
      sends: 0,
      acceptWaitMs: 0,
      instance: undefined,
      loadAgeMs: undefined,
      sendTrace: undefined,
      timing: undefined,
    },
  };
}

test('a host that refuses calls as delayed is avoided while another has room', async () => {
  const late = await openNode('late', 0);
  const busy = await openNode('busy', SLOTS - 1);
  const link = new HeldLink(late.port);
  const directory = new Directory(brandText('own'), SILENT_LOG, NO_REVISIONS);
  directory.update(buildRecord('late', await link.listen()));
  directory.update(buildRecord('busy', busy.port));
  const settings = {
    dataCentre: brandText('a'),
    spillOverPolicy: { waitShare: 0.5, spillRank: 9 },
  };
  const router = new CallRouter({
    gate: { reauthorize: () => ({ kind: 'anonymous' }) },
    getSettings: () => settings as unknown as MeshSettings,
    names: HEADER_NAMES,
    directory,
    runner: {} as LocalRunner,
    retryBudget: new RetryBudget({ ratio: 0.2, windowMs: 10_000, extra: 60 }),
    overloadThrottle: new OverloadThrottle(),
    targets: new TargetChooser(),
    log: SILENT_LOG,
    metrics: METRICS,
    processId: 'origin',
  });
  for (let index = 0; index < SLOTS; index += 1) {
    const outcome = await router.run(buildCall(`before-${index}`));
    assert.equal(outcome.kind, 'answered');
  }
  link.setState({ kind: 'delayed', delayMs: TRANSIT_MS });
  let delayedCalls = 0;
  for (let index = 0; index < CALLS; index += 1) {
    const call = buildCall(`after-${index}`);
    const outcome = await router.run(call);
    assert.equal(outcome.kind, 'answered');
    if (call.trace.sends > 1) delayedCalls += 1;
  }
  directory.close();
  await link.close();
  await closeServer(late.server);
  await closeServer(busy.server);
  assert.ok(delayedCalls <= MAX_DELAYED_CALLS, `${delayedCalls} of ${CALLS} calls were delayed`);
});
