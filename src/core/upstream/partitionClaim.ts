/** Decides who should own a key partition. Wrong decisions cost availability, never safety. */
import type { KeyPartition, MemberRecord } from '../../generated/types.js';
import { brandText, type NodeId, type ServiceName } from '../../types/ids.js';
import type { MemberTable } from '../../types/interfaces.js';
import { rankMembers } from '../../utils/rendezvous.js';
import { compareIncarnations } from '../membership/incarnation.js';

/** Read access to the members. */
export type Members = Pick<MemberTable, 'getSelf' | 'getMember' | 'listByService'>;

/** True for a serving member with a ready instance of the service. */
export function isReadyFor(record: MemberRecord, service: ServiceName): boolean {
  if (record.state !== 'serving') return false;
  return record.instances.some(
    (instance) => instance.service === service && instance.state === 'ready',
  );
}

function hasOwnerState(
  members: Members,
  owner: KeyPartition,
  state: MemberRecord['state'],
): boolean {
  const member = members.getMember(brandText<NodeId>(owner.nodeId));
  if (!member || member.verdict === 'dead') return false;
  return member.record.incarnation === owner.incarnation && member.record.state === state;
}

/** True when the recorded owner is known to run, so that callers can be sent to it. */
export function isOwnerRunning(members: Members, owner: KeyPartition): boolean {
  return hasOwnerState(members, owner, 'serving');
}

/** True when the recorded owner is leaving: it hands its partitions over and still answers. */
export function isOwnerLeaving(members: Members, owner: KeyPartition): boolean {
  return hasOwnerState(members, owner, 'leaving');
}

/** True when the recorded owner's process is known to have ended. */
export function isOwnerGone(members: Members, owner: KeyPartition): boolean {
  if (owner.nodeId === members.getSelf().nodeId) return true;
  const member = members.getMember(brandText<NodeId>(owner.nodeId));
  // An unknown member may be one that this node has not heard of yet.
  if (!member) return false;
  const order = compareIncarnations(member.record.incarnation, owner.incarnation);
  // So may a process that claimed right after its start.
  if (order !== 0) return order > 0;
  return member.verdict === 'dead' || member.record.state === 'left';
}

/** True when this node has the highest rank for a partition among the ready members. */
export function isFirstRanked(
  members: Members,
  service: ServiceName,
  rankKey: string,
  excluded: string | undefined,
): boolean {
  const self = members.getSelf();
  const candidates = members
    .listByService(service)
    .filter((member) => member.verdict === 'alive' && isReadyFor(member.record, service))
    .map((member) => member.record.nodeId)
    .filter((nodeId) => nodeId !== excluded && nodeId !== self.nodeId);
  if (isReadyFor(self, service)) candidates.push(self.nodeId);
  return rankMembers(rankKey, candidates, (nodeId) => nodeId)[0] === self.nodeId;
}
