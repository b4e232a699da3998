/** Makes one attempt of a call on one node and records what it shows about that node. */
import type { MemberRecord } from '../../generated/types.js';
import type { AttemptResult, Call, LocalDispatcher } from '../../types/calls.js';
import type { MemberTable } from '../../types/interfaces.js';
import type { CompiledService } from '../../types/routing.js';
import { forwardCall } from './forward.js';
import type { NodeStats, NodeStatsTable } from './nodeStats.js';
import type { CallStart } from './outlier.js';
import type { PeerPools } from './peerPools.js';
import { isStaleChoice } from './refusal.js';

/** Parts that an attempt needs. */
export interface AttemptParts {
  readonly members: MemberTable;
  readonly dispatcher: LocalDispatcher;
  readonly pools: PeerPools;
  readonly stats: NodeStatsTable;
}

/** Reasons that show nothing about the node, not even that it answers. */
const INCONCLUSIVE: ReadonlySet<string> = new Set(['cancelled', 'already-handed-over']);

function recordResult(
  stats: NodeStats,
  start: CallStart,
  result: AttemptResult,
  service: CompiledService,
  nowMs: number,
): void {
  const { outlier } = service.config;
  switch (result.kind) {
    case 'answered':
      if (result.load) stats.recordLoad(result.load, nowMs);
      if (result.status >= 500) stats.outlier.recordFailure(outlier, start, nowMs);
      else stats.outlier.recordSuccess(start, nowMs);
      break;
    case 'unknown':
      if (!INCONCLUSIVE.has(result.reason)) stats.outlier.recordFailure(outlier, start, nowMs);
      break;
    case 'notRun':
      if (result.load) stats.recordLoad(result.load, nowMs);
      // Overload spreads over the other nodes by load; it says nothing about a node's health.
      if (result.reason === 'overloaded') stats.recordFull(nowMs);
      if (isStaleChoice(result)) stats.recordLeaving(nowMs);
      if (result.reason === 'connect-failed') stats.outlier.recordFailure(outlier, start, nowMs);
      else if (!INCONCLUSIVE.has(result.reason)) stats.outlier.recordRefusal(start, nowMs);
      break;
    // no default
  }
}

/** Runs a call on a node: through the local dispatcher if it is this one, forwarded otherwise. */
export async function runAttempt(
  call: Call,
  record: MemberRecord,
  parts: AttemptParts,
): Promise<AttemptResult> {
  const { service } = call.route;
  const stats = parts.stats.get(service.name, record.nodeId, record.incarnation);
  stats.outstanding += 1;
  const start = stats.outlier.recordStart(service.config.outlier, performance.now());
  const result =
    record.nodeId === parts.members.getSelf().nodeId
      ? await parts.dispatcher.dispatch(call)
      : await forwardCall(parts.pools.getPool(record), call, record);
  const release = () => {
    stats.outstanding -= 1;
  };
  if (result.kind === 'answered') result.body.once('close', release);
  else release();
  recordResult(stats, start, result, service, performance.now());
  return result;
}
