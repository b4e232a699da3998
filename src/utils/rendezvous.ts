import { createHash } from 'node:crypto';

/** Returns the rendezvous hash score of a member for a key, evenly spread over 0 to 2^48 - 1. */
function computeScore(key: string, member: string): number {
  return createHash('sha1').update(`${key}\n${member}`).digest().readUIntBE(0, 6);
}

/** Sorts members by descending score for a key; equal scores fall back to the name. */
export function rankMembers<Member>(
  key: string,
  members: readonly Member[],
  getName: (member: Member) => string,
): Member[] {
  const scored = members.map((member) => ({
    member,
    name: getName(member),
    score: computeScore(key, getName(member)),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map((entry) => entry.member);
}
