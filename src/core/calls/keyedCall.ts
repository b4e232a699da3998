/** Runs calls with a key: one process alone may dispatch them, so there is no choice. */
import type { MemberRecord } from '../../generated/types.js';
import type { AttemptResult, Call, CallKey } from '../../types/calls.js';
import type { NodeId } from '../../types/ids.js';
import type { MemberTable } from '../../types/interfaces.js';
import { computeKeyPartition, getPartitionRankKey } from '../../utils/keyPartition.js';
import { rankMembers } from '../../utils/rendezvous.js';
import { runAttempt, type AttemptParts } from './attempt.js';
import { findExclusion } from './candidates.js';
import { buildNotRun, buildUnknown } from './refusal.js';

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
 * Runs a call with a caller-supplied key on the node that ranks first for its key partition. If
 * that node refuses and names the owner, the owner is asked once.
 */
export async function runOwnedCall(
  call: Call,
  key: UuidKey,
  parts: AttemptParts,
): Promise<AttemptResult> {
  const first = findPresumedOwner(call, key, parts.members);
  if (!first) return buildNotRun('no-instance', `no ready node of ${call.route.service.name}`);
  const result = await runAttempt(call, first, parts);
  if (result.kind !== 'notRun' || result.reason !== 'wrong-node' || !result.hint) return result;
  const owner = findReachable(result.hint, parts.members);
  if (!owner || owner.nodeId === first.nodeId) return result;
  return runAttempt(call, owner, parts);
}
