/** Notification of members about an installed version. */
import type { MemberView, VersionTag } from '../../types/interfaces.js';
import { chooseRandom } from '../../utils/random.js';
import { toAddress } from '../membership/context.js';
import { isPresent } from '../membership/merge.js';
import { getOwnSender, type DistributionContext } from './context.js';

/** Returns the member that follows a node in the order of node ids, the first after the last. */
export function findSuccessor(
  members: readonly MemberView[],
  nodeId: string,
): MemberView | undefined {
  const sorted = [...members].sort((a, b) => (a.record.nodeId < b.record.nodeId ? -1 : 1));
  return sorted.find(({ record }) => record.nodeId > nodeId) ?? sorted[0];
}

/** Tells a few members of the own data centre, and at a relay the relays elsewhere. */
export function notifyMembers(context: DistributionContext, tag: VersionTag): void {
  const { settings, members, peers, random } = context;
  const present = members
    .listMembers()
    .filter((member) => isPresent(member) && member.record.nodeId !== settings.nodeId);
  const isOwn = ({ record }: MemberView) => record.dataCentre === settings.dataCentre;
  // A member known to have the version needs no notification.
  const behind = present.filter((member) => isOwn(member) && member.tag.version < tag.version);
  // Three random targets of each node leave about 5% of the members untold until a ping, up to a
  // second later. The successor in the ring of members is told by every node, so none is left out.
  const successor = findSuccessor(behind, settings.nodeId);
  const rest = behind.filter((member) => member !== successor);
  const targets = chooseRandom(rest, settings.distribution.notifyFanout - 1, random);
  if (successor) targets.push(successor);
  if (members.isRelay()) {
    const others = present.filter((member) => !isOwn(member));
    const names = new Set(others.map(({ record }) => record.dataCentre));
    for (const name of names) targets.push(...members.listRelays(name as never));
  }
  const params = { from: getOwnSender(context), version: tag.version, digest: tag.digest };
  for (const { record } of targets) peers.notify(toAddress(record), 'config.notify', params);
}
