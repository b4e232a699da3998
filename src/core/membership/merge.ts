/** Order of two changes of one member. */
import canonicalize from 'canonicalize';
import type { MemberChange, MemberRecord } from '../../generated/types.js';
import type { MemberVerdict } from '../../types/interfaces.js';
import { compareIncarnations } from './incarnation.js';

const VERDICT_RANK: Readonly<Record<MemberVerdict, number>> = { alive: 0, suspect: 1, dead: 2 };

/** Orders records of one member: incarnation first, then sequence. */
export function compareRecords(
  a: Pick<MemberRecord, 'incarnation' | 'sequence'>,
  b: Pick<MemberRecord, 'incarnation' | 'sequence'>,
): number {
  return compareIncarnations(a.incarnation, b.incarnation) || a.sequence - b.sequence;
}

/**
 * Orders changes of one member. The order is total, so that taking the greater one is
 * commutative, associative and idempotent. The owner never writes two records with the same
 * incarnation and sequence; should that happen, the canonical text decides everywhere alike.
 */
export function compareChanges(a: MemberChange, b: MemberChange): number {
  const byRecord = compareRecords(a.record, b.record);
  if (byRecord !== 0) return byRecord;
  const byVerdict = VERDICT_RANK[a.verdict] - VERDICT_RANK[b.verdict];
  if (byVerdict !== 0) return byVerdict;
  // Repeated changes are mostly equal to the letter. Canonical texts of them all took a fifth of
  // the processor time in which 540 nodes joined.
  if (JSON.stringify(a.record) === JSON.stringify(b.record)) return 0;
  const textA = canonicalize(a.record) ?? '';
  const textB = canonicalize(b.record) ?? '';
  if (textA === textB) return 0;
  return textA < textB ? -1 : 1;
}

/** Merges two changes of one member. */
export function mergeChanges(a: MemberChange, b: MemberChange): MemberChange {
  return compareChanges(a, b) >= 0 ? a : b;
}

/** True for members that take part: neither dead nor gone. */
export function isPresent(change: MemberChange): boolean {
  return change.verdict !== 'dead' && change.record.state !== 'left';
}
