/**
 * Calls to a service with a rollout, over loopback. Guards against calls that reach a version
 * beyond its share, and against calls that fail although the other version has room.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../../platform/names.js';
import { CallRouter } from '../../../src/mesh/callRouter.js';
import type { RolloutState } from '../../../src/mesh/coordination/model.js';
import { Directory } from '../../../src/mesh/directory.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import type { LocalRunner } from '../../../src/mesh/localRunner.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import type { MeshSettings, NodeRecord, RunReport, RunResult } from '../../../src/mesh/model.js';
import { OverloadThrottle } from '../../../src/mesh/overloadThrottle.js';
import { createPeerPort } from '../../../src/mesh/peerPort.js';
import type { PendingCall } from '../../../src/mesh/pendingCall.js';
import { RetryBudget } from '../../../src/mesh/retryBudget.js';
import { RolloutGate } from '../../../src/mesh/rollouts/rolloutGate.js';
import { Cancellation } from '../../../src/mesh/signal.js';
import { TargetChooser } from '../../../src/mesh/targets.js';
import { brandText, type SoftwareVersion } from '../../../src/types/ids.js';
import { closeServer, openServer } from '../../../standins/http.js';
import { NO_REVISIONS, PEER_PORT_PARTS } from '../peerPortParts.js';

const HOST = '127.0.0.1';
const CALLS = 20;
const REFUSED: RunResult = {
  kind: 'notRun',
  reason: 'overloaded',
  retryAfterMs: 100,
  hasArrived: false,
};

function buildRecord(name: string, port: number, version: string): NodeRecord {
  return {
    nodeId: brandText(name),
    incarnation: name,
    dataCentre: brandText('a'),
    address: { host: HOST, port },
    service: brandText('pads'),
    instanceId: brandText(`i-${name}`),
    startedAtMs: 1,
    slots: 50,
    state: 'ready',
    version: brandText<SoftwareVersion>(version),
  };
}

function buildCall(id: string): PendingCall {
  const startedAtMs = performance.now();
  return {
    route: {
      name: brandText('route'),
      host: 'h',
      pathPrefix: '/',
      targets: [{ service: brandText('pads'), weight: 1 }],
      isIdempotent: true,
      timeoutMs: 5000,
      objectiveMs: 600,
      maxAttempts: 3,
      priority: 0,
    },
    request: { method: 'GET', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(0) },
    requestId: id,
    startedAtMs,
    deadlineAtMs: startedAtMs + 5000,
    objectiveAtMs: startedAtMs + 600,
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

/**
 * Makes calls and returns how many attempts reached each node, and the most attempts of one call.
 * `refusing` nodes run none; the others respond with `status`.
 */
async function countCalls(
  state: RolloutState | undefined,
  share: number,
  { refusing = [], status = 200 }: { refusing?: readonly string[]; status?: number } = {},
): Promise<{ old: number; new: number; maxSends: number }> {
  const reached = { old: 0, new: 0, maxSends: 0 };
  const directory = new Directory(brandText('own'), SILENT_LOG, NO_REVISIONS);
  const servers = [];
  for (const [name, version] of [
    ['old', 'v1'],
    ['new', 'v2'],
  ] as const) {
    const runner = {
      async run(): Promise<RunReport> {
        reached[name] += 1;
        const response = { status, headers: [], body: Buffer.from(name) };
        const isRefusing = refusing.includes(name);
        return { result: isRefusing ? REFUSED : { kind: 'answered', response }, load: undefined };
      },
      getLoad: () => undefined,
    };
    const server = createPeerPort({
      runner: runner as unknown as LocalRunner,
      processId: name,
      ...PEER_PORT_PARTS,
    });
    servers.push(server);
    directory.update(buildRecord(name, await openServer(server, HOST, 0), version));
  }
  const gate = new RolloutGate();
  const directive = { service: brandText<never>('pads'), targetVersion: brandText<never>('v2') };
  if (state) gate.applyDirectives([{ ...directive, state, share }], performance.now());
  const settings = {
    dataCentre: brandText('a'),
    spillOverPolicy: { waitShare: 0.5, spillRank: 9 },
  };
  const router = new CallRouter({
    getSettings: () => settings as unknown as MeshSettings,
    names: HEADER_NAMES,
    directory,
    runner: {} as LocalRunner,
    retryBudget: new RetryBudget({ ratio: 0.2, windowMs: 10_000, extra: 60 }),
    overloadThrottle: new OverloadThrottle(),
    targets: new TargetChooser(),
    log: SILENT_LOG,
    metrics: new MeshMetrics(),
    processId: 'origin',
    rolloutGate: gate,
    gate: { reauthorize: () => ({ kind: 'anonymous' }) },
  });
  for (let index = 0; index < CALLS; index += 1) {
    const call = buildCall(`call-${index}`);
    await router.run(call);
    reached.maxSends = Math.max(reached.maxSends, call.trace.sends);
  }
  directory.close();
  for (const server of servers) await closeServer(server);
  return reached;
}

test('a version without a share gets no calls, also while it is rolled back', async () => {
  for (const state of ['running', 'rolled_back'] as const) {
    assert.deepEqual(await countCalls(state, 0), { old: CALLS, new: 0, maxSends: 1 });
  }
});

test('a version that is promoted or completed gets all calls', async () => {
  for (const state of ['promoting', 'completed'] as const) {
    assert.deepEqual(await countCalls(state, 0), { old: 0, new: CALLS, maxSends: 1 });
  }
});

test('calls that old instances refuse are not offered to an unproven version', async () => {
  const reached = await countCalls('running', 0, { refusing: ['old'] });
  assert.ok(reached.old > 0);
  assert.equal(reached.new, 0);
});

test('calls that an unproven version refuses reach old instances with room', async () => {
  const reached = await countCalls('running', 1, { refusing: ['new'] });
  assert.ok(reached.new > 0);
  assert.ok(reached.old >= CALLS / 2, `${reached.old} of ${CALLS}`);
});

test('a failed call of an idempotent route is not sent again to the other version', async () => {
  const reached = await countCalls('running', 0.5, { status: 500 });
  assert.equal(reached.old + reached.new, CALLS);
  assert.equal(reached.maxSends, 1);
});

test('calls of a service without a rollout reach all versions', async () => {
  const reached = await countCalls(undefined, 0);
  assert.ok(reached.old > 0 && reached.new > 0, JSON.stringify(reached));
});
