/** Parts of a peer port that tests do not look at. */
import { HEADER_NAMES } from '../../platform/names.js';
import { BodyTransfers } from '../../src/mesh/bodyTransfers.js';
import { CallMonitor } from '../../src/mesh/callMonitor.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import { LocalInstance } from '../../src/mesh/localInstance.js';
import { LocalRunner } from '../../src/mesh/localRunner.js';
import { MeshMetrics } from '../../src/mesh/meshMetrics.js';
import type { CallMetadata } from '../../src/mesh/model.js';
import type { PeerPortOptions } from '../../src/mesh/peerPort.js';
import { ClientConnections } from '../../src/mesh/memory/clientConnections.js';
import { computeAccountLimits, NODE_LIMITS } from '../../src/mesh/memory/limits.js';
import { MemoryAccount } from '../../src/mesh/memory/memoryAccount.js';
import { RequestMemory } from '../../src/mesh/requestMemory.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import type { SuspensionDetector } from '../../src/mesh/suspensionDetector.js';
import { brandText } from '../../src/types/ids.js';

/** Large enough that no test reaches its limits. */
const ACCOUNT = new MemoryAccount(computeAccountLimits(4096));

/** An event loop that is never blocked. */
export const CALM_LOOP = { waitForArrivals: () => undefined };

export const SILENT_MONITOR = new CallMonitor({
  metrics: new MeshMetrics(),
  log: SILENT_LOG,
  getLagMs: () => 0,
});

/** Watch positions of a node that has read nothing. */
export const NO_REVISIONS = new RevisionExchange([]);

/** Options of a peer port but for its runner and process. */
export const PEER_PORT_PARTS: Omit<PeerPortOptions, 'runner' | 'processId'> = {
  transfers: new BodyTransfers(1000),
  names: HEADER_NAMES,
  seen: NO_REVISIONS,
  changeAnswers: {
    configAnswers: { answer: async () => ({ kind: 'unchanged', revision: 0 }) },
    nodeAnswers: { answer: async () => ({ kind: 'unknown' }) },
  },
  monitor: SILENT_MONITOR,
  loop: CALM_LOOP,
  log: SILENT_LOG,
  memory: new RequestMemory(ACCOUNT),
  nodes: new ClientConnections(ACCOUNT, NODE_LIMITS),
};

/** Builds the metadata of a call that is not idempotent, for the instance `i-1`. */
export function buildMetadata(deadlineAtMs: number, attemptId = 'p.1'): CallMetadata {
  return {
    attemptId,
    requestId: 'r',
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs,
    objectiveAtMs: deadlineAtMs,
  };
}

/** Creates the runner of the instance `i-1`, which has one slot. */
export function createRunner(
  instancePort: number,
  detector?: Pick<SuspensionDetector, 'count'>,
): LocalRunner {
  const address = { host: '127.0.0.1', port: instancePort };
  const instance = new LocalInstance();
  instance.applyHeartbeat({
    instanceId: brandText('i-1'),
    service: brandText('pads'),
    address,
    startedAtMs: 1,
    state: 'ready',
    slots: 1,
    warmupMs: 0,
    sequence: 1,
  });
  return new LocalRunner({
    detector,
    instance,
    loop: CALM_LOOP,
    getAddress: () => address,
    names: HEADER_NAMES,
    log: SILENT_LOG,
    onLeaving: () => {},
    onMismatch: () => {},
  });
}
