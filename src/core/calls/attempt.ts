/** Runs one attempt of a call on a node and records the result in the statistics of that node. */
import type { MemberRecord } from '../../generated/types.js';
import type { AttemptResult, Call, LocalDispatcher } from '../../types/calls.js';
import type { MemberTable } from '../../types/interfaces.js';
import type { CompiledService } from '../../types/routing.js';
import { forwardCall } from './forward.js';
import type { NodeStats, NodeStatsTable } from './nodeStats.js';
import type { AttemptMode } from './outlier.js';
import type { PeerPools } from './peerPools.js';
import { isStaleChoice } from './refusal.js';

/** Dependencies of an attempt. */
export interface AttemptParts {
  readonly members: MemberTable;
  readonly dispatcher: LocalDispatcher;
  readonly pools: PeerPools;
  readonly stats: NodeStatsTable;
}

/** Lowest HTTP status that counts as a failure of the node. */
const MIN_FAILURE_STATUS = 500;
/** Reasons that give no information about the node, not even whether it responds. */
const INCONCLUSIVE: ReadonlySet<string> = new Set(['cancelled', 'already-handed-over']);

function recordResult(
  stats: NodeStats,
  mode: AttemptMode,
  result: AttemptResult,
  service: CompiledService,
  nowMs: number,
): void {
  const { outlier } = service.config;
  switch (result.kind) {
    case 'answered':
      if (result.load) stats.recordLoad(result.load, nowMs);
      if (result.status >= MIN_FAILURE_STATUS) stats.outlier.recordFailure(outlier, mode, nowMs);
      else stats.outlier.recordSuccess(mode, nowMs);
      break;
    case 'unknown':
      if (!INCONCLUSIVE.has(result.reason)) stats.outlier.recordFailure(outlier, mode, nowMs);
      break;
    case 'notRun':
      if (result.load) stats.recordLoad(result.load, nowMs);
      // Overload is not a failure: load balancing sends calls elsewhere without an ejection.
      if (result.reason === 'overloaded') stats.recordFull(nowMs);
      if (isStaleChoice(result)) stats.recordLeaving(nowMs);
      if (result.reason === 'connect-failed') stats.outlier.recordFailure(outlier, mode, nowMs);
      else if (!INCONCLUSIVE.has(result.reason)) stats.outlier.recordRefusal(mode, nowMs);
      break;
    // no default
  }
}

/** Runs an attempt through the local dispatcher on this node; forwards it to any other node. */
export async function runAttempt(
  call: Call,
  record: MemberRecord,
  parts: AttemptParts,
): Promise<AttemptResult> {
  const { service } = call.route;
  const stats = parts.stats.get(service.name, record.nodeId, record.incarnation);
  stats.outstanding += 1;
  const mode = stats.outlier.recordStart(service.config.outlier, performance.now());
  const result =
    record.nodeId === parts.members.getSelf().nodeId
      ? await parts.dispatcher.dispatch(call)
      : await forwardCall(parts.pools.getPool(record), call, record);
  const release = () => {
    stats.outstanding -= 1;
  };
  if (result.kind === 'answered') result.body.once('close', release);
  else release();
  recordResult(stats, mode, result, service, performance.now());
  return result;
}
