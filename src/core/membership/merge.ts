/** Ordering and merging of changes to one member. */
import canonicalize from 'canonicalize';
import type { MemberChange, MemberRecord } from '../../generated/types.js';
import type { MemberVerdict } from '../../types/interfaces.js';
import { compareIncarnations } from './incarnation.js';

const VERDICT_RANK: Readonly<Record<MemberVerdict, number>> = { alive: 0, suspect: 1, dead: 2 };

/** Compares two records of one member by incarnation, then by sequence. */
export function compareRecords(
  a: Pick<MemberRecord, 'incarnation' | 'sequence'>,
  b: Pick<MemberRecord, 'incarnation' | 'sequence'>,
): number {
  return compareIncarnations(a.incarnation, b.incarnation) || a.sequence - b.sequence;
}

/**
 * Compares two changes to one member. The order is total, so choosing the greater change is
 * commutative, associative and idempotent. A member never writes two records with the same
 * incarnation and sequence; if it happens nevertheless, the canonical JSON decides, with the same
 * result on all nodes.
 */
export function compareChanges(a: MemberChange, b: MemberChange): number {
  const byRecord = compareRecords(a.record, b.record);
  if (byRecord !== 0) return byRecord;
  const byVerdict = VERDICT_RANK[a.verdict] - VERDICT_RANK[b.verdict];
  if (byVerdict !== 0) return byVerdict;
  // Repeated changes are usually identical. Canonicalizing each of them took 20 % of the CPU time
  // while 540 nodes joined.
  if (JSON.stringify(a.record) === JSON.stringify(b.record)) return 0;
  const textA = canonicalize(a.record) ?? '';
  const textB = canonicalize(b.record) ?? '';
  if (textA === textB) return 0;
  return textA < textB ? -1 : 1;
}

/** Merges two changes to one member by returning the greater one. */
export function mergeChanges(a: MemberChange, b: MemberChange): MemberChange {
  return compareChanges(a, b) >= 0 ? a : b;
}

/** Returns true for members that are neither dead nor in state `left`. */
export function isPresent(change: MemberChange): boolean {
  return change.verdict !== 'dead' && change.record.state !== 'left';
}
