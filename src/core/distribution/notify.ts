/** Notification of members of an installed version. */
import type { MemberView, VersionTag } from '../../types/interfaces.js';
import { chooseRandom } from '../../utils/random.js';
import { toAddress } from '../membership/context.js';
import { isPresent } from '../membership/merge.js';
import { getOwnSender, type DistributionContext } from './context.js';

/** Returns the next member after a node in the order of node ids, wrapping around at the end. */
export function findSuccessor(
  members: readonly MemberView[],
  nodeId: string,
): MemberView | undefined {
  const sorted = [...members].sort((a, b) => (a.record.nodeId < b.record.nodeId ? -1 : 1));
  return sorted.find(({ record }) => record.nodeId > nodeId) ?? sorted[0];
}

/** Notifies a few members of the own data centre; a relay also notifies the relays elsewhere. */
export function notifyMembers(context: DistributionContext, tag: VersionTag): void {
  const { settings, members, peers, random } = context;
  const present = members
    .listMembers()
    .filter((member) => isPresent(member) && member.record.nodeId !== settings.nodeId);
  const isInOwnDataCentre = ({ record }: MemberView) => record.dataCentre === settings.dataCentre;
  // Members that are known to have the version are not notified.
  const outdated = present.filter(
    (member) => isInOwnDataCentre(member) && member.tag.version < tag.version,
  );
  // With three random targets per node, about 5% of the members get no notification and learn of
  // the version from a ping, up to a second later. Each node also notifies its successor in the
  // order of node ids, so that every member is notified.
  const successor = findSuccessor(outdated, settings.nodeId);
  const otherOutdated = outdated.filter((member) => member !== successor);
  const targets = chooseRandom(otherOutdated, settings.distribution.notifyFanout - 1, random);
  if (successor) targets.push(successor);
  if (members.isRelay()) {
    const remoteMembers = present.filter((member) => !isInOwnDataCentre(member));
    const names = new Set(remoteMembers.map(({ record }) => record.dataCentre));
    for (const name of names) targets.push(...members.listRelays(name as never));
  }
  const params = { from: getOwnSender(context), version: tag.version, digest: tag.digest };
  for (const { record } of targets) peers.notify(toAddress(record), 'config.notify', params);
}
