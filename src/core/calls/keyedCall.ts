/** Runs calls with a key: one process alone may dispatch them, so there is no choice. */
import type { MemberRecord } from '../../generated/types.js';
import type { AttemptResult, Call, CallKey } from '../../types/calls.js';
import type { NodeId } from '../../types/ids.js';
import type { MemberTable } from '../../types/interfaces.js';
import { computeKeyPartition, getPartitionRankKey } from '../../utils/keyPartition.js';
import type { NotRunReason } from '../../types/outcome.js';
import { waitMs } from '../../utils/backoff.js';
import { rankMembers } from '../../utils/rendezvous.js';
import { runAttempt, type AttemptParts } from './attempt.js';
import { findExclusion } from './candidates.js';
import { buildNotRun, buildUnknown } from './refusal.js';

/** Refusals by nodes that do not own the key; its owner may be known shortly. */
const OWNER_MISSING: ReadonlySet<NotRunReason> = new Set([
  'key-unowned',
  'wrong-node',
  'connect-failed',
  'leaving',
]);
/** Mean time between the first looks for the owner; a claim takes about a second. */
const LOOK_MS = 300;
const FAST_LOOKS = 10;
/** Mean time between later looks: on a slow platform a claim is repeated after up to 8 s. */
const SLOW_LOOK_MS = 1000;
/** Hints that are followed in one look. */
const MAX_HINTS = 2;

type TokenKey = Extract<CallKey, { kind: 'token' }>;
type UuidKey = Extract<CallKey, { kind: 'uuid' }>;

function findProcess(key: TokenKey, members: MemberTable): MemberRecord | undefined {
  const self = members.getSelf();
  if (key.nodeId === self.nodeId) return key.incarnation === self.incarnation ? self : undefined;
  const view = members.getMember(key.nodeId);
  if (!view || view.verdict === 'dead' || view.record.state === 'left') return undefined;
  return view.record.incarnation === key.incarnation ? view.record : undefined;
}

/**
 * Runs a call with a token on the process that the token names. A process that cannot be reached
 * may have run the call earlier under the same token, so its absence is `unknown`.
 */
export async function runTokenCall(
  call: Call,
  key: TokenKey,
  parts: AttemptParts,
): Promise<AttemptResult> {
  const record = findProcess(key, parts.members);
  if (!record) {
    return buildUnknown('process-replaced', `the process of ${key.nodeId} in the token is gone`);
  }
  const result = await runAttempt(call, record, parts);
  if (result.kind !== 'notRun') return result;
  if (result.reason === 'connect-failed' || result.reason === 'wrong-node') {
    return buildUnknown('process-replaced', result.detail);
  }
  return result;
}

function findPresumedOwner(
  call: Call,
  key: UuidKey,
  members: MemberTable,
): MemberRecord | undefined {
  const { name } = call.route.service;
  const ready = members.listByService(name).filter((view) => !findExclusion(view, name));
  const rankKey = getPartitionRankKey(name, computeKeyPartition(key.text));
  return rankMembers(rankKey, ready, (view) => view.record.nodeId)[0]?.record;
}

function findReachable(nodeId: NodeId, members: MemberTable): MemberRecord | undefined {
  const self = members.getSelf();
  if (nodeId === self.nodeId) return self;
  const view = members.getMember(nodeId);
  return view && view.verdict !== 'dead' ? view.record : undefined;
}

/**
 * Asks the node that ranks first for the key's partition, then the owner that it names, then the
 * owner before that, which keeps the keys of its time while it leaves.
 */
async function requestOwner(call: Call, key: UuidKey, parts: AttemptParts): Promise<AttemptResult> {
  const first = findPresumedOwner(call, key, parts.members);
  if (!first) return buildNotRun('no-instance', `no ready node of ${call.route.service.name}`);
  const asked = new Set([first.nodeId]);
  let result = await runAttempt(call, first, parts);
  while (asked.size <= MAX_HINTS && result.kind === 'notRun' && result.hint) {
    const owner = findReachable(result.hint, parts.members);
    if (result.reason !== 'wrong-node' || !owner || asked.has(owner.nodeId)) break;
    asked.add(owner.nodeId);
    result = await runAttempt(call, owner, parts);
  }
  return result;
}

function isOwnerMissing(result: AttemptResult): boolean {
  return result.kind === 'notRun' && OWNER_MISSING.has(result.reason);
}

/**
 * Runs a call with a caller-supplied key on the owner of its key partition. While the partition
 * changes hands, at a planned stop for example, the owner is looked for again until the deadline
 * is near: no arrival was run, so asking again is safe.
 */
export async function runOwnedCall(
  call: Call,
  key: UuidKey,
  parts: AttemptParts,
): Promise<AttemptResult> {
  let result = await requestOwner(call, key, parts);
  for (let look = 1; isOwnerMissing(result); look += 1) {
    const meanMs = look < FAST_LOOKS ? LOOK_MS : SLOW_LOOK_MS;
    const delayMs = meanMs * (0.5 + Math.random());
    if (call.signal.aborted || performance.now() + 2 * delayMs > call.deadlineMs) break;
    await waitMs(delayMs, call.signal);
    result = await requestOwner(call, key, parts);
  }
  return result;
}
