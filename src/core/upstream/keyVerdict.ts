/** Decides whether a caller-supplied key may run here, from what is known of its partition. */
import type { KeyPartition } from '../../generated/types.js';
import type { CallKey } from '../../types/calls.js';
import { brandText, type NodeId } from '../../types/ids.js';
import { isOwnerLeaving, isOwnerRunning, type Members } from './partitionClaim.js';
import type { Bounds, PartitionLease } from './partitionLease.js';

/** A caller-supplied key. */
export type UuidKey = Extract<CallKey, { kind: 'uuid' }>;

/** Whether a key may be dispatched here. */
export type KeyVerdict =
  | { readonly kind: 'allowed' }
  | {
      readonly kind: 'notRun';
      readonly reason: 'wrong-node' | 'key-unowned';
      readonly detail: string;
      readonly hint?: NodeId;
    }
  | { readonly kind: 'unknown'; readonly detail: string };

/** What a node knows of a key partition. */
export interface KnownPartition {
  readonly lease: Pick<PartitionLease, 'getHeld' | 'getRetained' | 'getPrevious' | 'getView'>;
  /** Incarnation of the owner that had ended when its record was read. */
  readonly endedOwner: string | undefined;
}

/** True if the bounds exist and hold the time of a key. */
export function isWithin(bounds: Bounds | undefined, timeMs: number): boolean {
  return bounds !== undefined && bounds.from <= timeMs && timeMs < bounds.until;
}

function refuseUnowned(detail: string): KeyVerdict {
  return { kind: 'notRun', reason: 'key-unowned', detail };
}

function refuseFor(owner: KeyPartition): KeyVerdict {
  const hint = brandText<NodeId>(owner.nodeId);
  return { kind: 'notRun', reason: 'wrong-node', detail: `owned by ${hint}`, hint };
}

function deriveForeignVerdict(
  { endedOwner }: KnownPartition,
  owner: KeyPartition,
  timeMs: number,
  members: Members,
): KeyVerdict {
  const isOther = owner.nodeId !== members.getSelf().nodeId;
  if (isOther && isOwnerRunning(members, owner)) return refuseFor(owner);
  if (timeMs >= owner.until) return refuseUnowned('the last owner is gone');
  if (isOther && isOwnerLeaving(members, owner)) return refuseFor(owner);
  if (endedOwner !== owner.incarnation) {
    // Its last act may have been to truncate the interval.
    return refuseUnowned('the bounds were read before the end of the owner');
  }
  return { kind: 'unknown', detail: `an owner that is gone may have run it: ${owner.nodeId}` };
}

/** Decides whether a key of this time may be dispatched here now. */
export function deriveKeyVerdict(
  partition: KnownPartition,
  timeMs: number,
  members: Members,
  isStopped: boolean,
): KeyVerdict {
  const { lease } = partition;
  if (isWithin(lease.getRetained(), timeMs)) return { kind: 'allowed' };
  const held = isStopped ? undefined : lease.getHeld();
  if (held) {
    if (timeMs >= held.until) return refuseUnowned('later than the owned interval');
    if (timeMs >= held.from) return { kind: 'allowed' };
    const previous = lease.getPrevious();
    if (previous && isWithin(previous, timeMs) && isOwnerLeaving(members, previous)) {
      return refuseFor(previous);
    }
    return { kind: 'unknown', detail: 'an earlier owner may have run it' };
  }
  const view = lease.getView();
  if (typeof view === 'object') return deriveForeignVerdict(partition, view, timeMs, members);
  return refuseUnowned('no owner is known');
}
