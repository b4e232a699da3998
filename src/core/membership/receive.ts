/** Changes received from other members. */
import type { MemberChange, Sender } from '../../generated/types.js';
import { compareChanges, isPresent } from './merge.js';
import type { MembershipContext } from './context.js';
import type { Entry } from './table.js';

/** Probes that run at a time. */
const MAX_RUNNING_PROBES = 8;
/** Probes that wait; beyond it changes are left to anti-entropy. */
const MAX_WAITING_PROBES = 2000;

/** Pings a member and tells whether this very process answered. The change goes with the ping. */
export type Probe = (change: MemberChange) => Promise<boolean>;

/** Takes changes from messages into the table. */
export interface ChangeReceiver {
  /**
   * Takes changes; `from` is the sender, and `spread` repeats what was new on pings.
   * Returns the number of changes that were new or went to a probe.
   */
  receive(changes: readonly MemberChange[], from: Sender | undefined, spread: boolean): number;
  /** Takes a change without a probe, for verdicts of this node itself. */
  applyOwn(change: MemberChange): boolean;
}

/**
 * Tells whether the member has to be pinged before a change is believed:
 * - an unknown or previously dead record of the own data centre, so that a healed partition
 *   cannot bring back dead members;
 * - a verdict `dead` about a member that looks alive from here, so that a node that was cut off
 *   cannot remove the members it lost sight of;
 * - at relays, any new verdict about a member elsewhere, for the same reason.
 */
function shouldProbe(
  context: MembershipContext,
  change: MemberChange,
  current: Entry | undefined,
  from: Sender | undefined,
): boolean {
  const { record, verdict } = change;
  const isOwn = record.dataCentre === context.settings.dataCentre;
  const isDirect = from?.nodeId === record.nodeId && from.incarnation === record.incarnation;
  if (isDirect || record.state === 'left') return false;
  if (verdict === 'alive') return isOwn && (!current || !isPresent(current));
  if (!current) return isOwn;
  if (isOwn) return verdict === 'dead' && current.verdict === 'alive';
  return context.isRelay() && verdict !== current.verdict;
}

/** Creates the receiver. `refute` is called with a change about this node itself. */
export function createReceiver(
  context: MembershipContext,
  probe: Probe,
  refute: (change: MemberChange) => void,
): ChangeReceiver {
  const { table, gossip, logger, settings } = context;
  const waiting = new Map<string, { change: MemberChange; spread: boolean }>();
  const running = new Set<string>();

  const take = (change: MemberChange, spread: boolean): boolean => {
    const { record, verdict } = change;
    const before = table.get(record.nodeId);
    if (!table.apply(change)) return false;
    if (spread) gossip.add(record.nodeId);
    if (before?.verdict !== verdict || before.record.state !== record.state) {
      const { nodeId, state, dataCentre } = record;
      logger.info('member-changed', { peer: nodeId, peerDataCentre: dataCentre, state, verdict });
    }
    return true;
  };

  const runProbe = async (change: MemberChange, spread: boolean) => {
    const isReached = await probe(change);
    if (context.signal.aborted) return;
    if (isReached === (change.verdict === 'alive')) take(change, spread);
  };

  const startProbes = () => {
    for (const [nodeId, { change, spread }] of waiting) {
      if (running.size >= MAX_RUNNING_PROBES) return;
      if (running.has(nodeId)) continue;
      waiting.delete(nodeId);
      running.add(nodeId);
      void runProbe(change, spread).finally(() => {
        running.delete(nodeId);
        startProbes();
      });
    }
  };

  const scheduleProbe = (change: MemberChange, spread: boolean) => {
    const { nodeId } = change.record;
    const queued = waiting.get(nodeId);
    if (!queued && waiting.size >= MAX_WAITING_PROBES) return;
    if (queued && compareChanges(queued.change, change) >= 0) return;
    waiting.set(nodeId, { change, spread });
    startProbes();
  };

  return {
    applyOwn: (change) => take(change, true),
    receive: (changes, from, spread) => {
      let taken = 0;
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
          scheduleProbe(change, spread);
          taken += 1;
        } else if (take(change, spread)) {
          taken += 1;
        }
      }
      return taken;
    },
  };
}
