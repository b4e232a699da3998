/** Processing of changes received from other members. */
import type { MemberChange, Sender } from '../../generated/types.js';
import { compareChanges, isPresent } from './merge.js';
import type { MembershipContext } from './context.js';
import type { Entry } from './table.js';

/** Maximum number of concurrent probes. */
const MAX_RUNNING_PROBES = 8;
/** Maximum number of queued probes; further changes are dropped and repaired by anti-entropy. */
const MAX_QUEUED_PROBES = 2000;

/**
 * Pings a member and returns whether it answered with the incarnation of the change. Changes with a
 * verdict other than `alive` are sent with the ping.
 */
export type Probe = (change: MemberChange) => Promise<boolean>;

/** Applies received changes to the member table. */
export interface ChangeReceiver {
  /**
   * Applies changes or schedules probes for them. `from` is the sender; with `shouldGossip` applied
   * changes are piggybacked on pings. Returns the number of changes that were applied or need a
   * probe.
   */
  receive(
    changes: readonly MemberChange[],
    from: Sender | undefined,
    shouldGossip: boolean,
  ): number;
  /** Applies a change without a probe, for verdicts of the local failure detector. */
  applyLocal(change: MemberChange): boolean;
}

/**
 * Returns whether the member must be pinged before a change is applied:
 * - any change to an unknown member of the local data centre, and `alive` for one that is dead or
 *   has left, so that dead members do not return when a partition heals;
 * - `dead` for a member of the local data centre that is alive in this table, so that a node that
 *   was partitioned cannot remove the members that it could not reach;
 * - on relays, a changed verdict `suspect` or `dead` for a member of another data centre, for the
 *   same reason.
 * Changes sent by the member itself and records in state `left` need no probe.
 */
function shouldProbe(
  context: MembershipContext,
  change: MemberChange,
  current: Entry | undefined,
  from: Sender | undefined,
): boolean {
  const { record, verdict } = change;
  const isLocal = record.dataCentre === context.settings.dataCentre;
  const isDirect = from?.nodeId === record.nodeId && from.incarnation === record.incarnation;
  if (isDirect || record.state === 'left') return false;
  if (verdict === 'alive') return isLocal && (!current || !isPresent(current));
  if (!current) return isLocal;
  if (isLocal) return verdict === 'dead' && current.verdict === 'alive';
  return context.isRelay() && verdict !== current.verdict;
}

/** Creates the receiver. `refute` is called with each change that concerns this node. */
export function createReceiver(
  context: MembershipContext,
  probe: Probe,
  refute: (change: MemberChange) => void,
): ChangeReceiver {
  const { table, gossip, logger, settings } = context;
  const queuedProbes = new Map<string, { change: MemberChange; shouldGossip: boolean }>();
  const runningProbes = new Set<string>();

  const applyChange = (change: MemberChange, shouldGossip: boolean): boolean => {
    const { record, verdict } = change;
    const before = table.get(record.nodeId);
    if (!table.apply(change)) return false;
    if (shouldGossip) gossip.add(record.nodeId);
    if (before?.verdict !== verdict || before.record.state !== record.state) {
      const { nodeId, state, dataCentre } = record;
      logger.info('member-changed', { peer: nodeId, peerDataCentre: dataCentre, state, verdict });
    }
    return true;
  };

  const runProbe = async (change: MemberChange, shouldGossip: boolean) => {
    const isReached = await probe(change);
    if (context.signal.aborted) return;
    if (isReached === (change.verdict === 'alive')) applyChange(change, shouldGossip);
  };

  const startProbes = () => {
    for (const [nodeId, { change, shouldGossip }] of queuedProbes) {
      if (runningProbes.size >= MAX_RUNNING_PROBES) return;
      if (runningProbes.has(nodeId)) continue;
      queuedProbes.delete(nodeId);
      runningProbes.add(nodeId);
      void runProbe(change, shouldGossip).finally(() => {
        runningProbes.delete(nodeId);
        startProbes();
      });
    }
  };

  const scheduleProbe = (change: MemberChange, shouldGossip: boolean) => {
    const { nodeId } = change.record;
    const queued = queuedProbes.get(nodeId);
    if (!queued && queuedProbes.size >= MAX_QUEUED_PROBES) return;
    if (queued && compareChanges(queued.change, change) >= 0) return;
    queuedProbes.set(nodeId, { change, shouldGossip });
    startProbes();
  };

  return {
    applyLocal: (change) => applyChange(change, true),
    receive: (changes, from, shouldGossip) => {
      let acceptedCount = 0;
      for (const change of changes) {
        const { nodeId } = change.record;
        if (nodeId === settings.nodeId) {
          refute(change);
          continue;
        }
        const current = table.get(nodeId);
        if (current && compareChanges(change, current) <= 0) continue;
        if (!current && !isPresent(change)) continue;
        if (shouldProbe(context, change, current, from)) {
          scheduleProbe(change, shouldGossip);
          acceptedCount += 1;
        } else if (applyChange(change, shouldGossip)) {
          acceptedCount += 1;
        }
      }
      return acceptedCount;
    },
  };
}
