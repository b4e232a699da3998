import { createHash } from 'node:crypto';

/** 48 bits, which a number represents exactly. */
const SCORE_BYTES = 6;

/** Returns the rendezvous hash score of a member for a key, uniform over 0 to 2^48 - 1. */
function computeScore(key: string, member: string): number {
  return createHash('sha1').update(`${key}\n${member}`).digest().readUIntBE(0, SCORE_BYTES);
}

/** Sorts members by descending rendezvous score for a key; ties are broken by name. */
export function rankMembers<Member>(
  key: string,
  members: readonly Member[],
  getName: (member: Member) => string,
): Member[] {
  const scoredMembers = members.map((member) => ({
    member,
    name: getName(member),
    score: computeScore(key, getName(member)),
  }));
  scoredMembers.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scoredMembers.map((entry) => entry.member);
}
