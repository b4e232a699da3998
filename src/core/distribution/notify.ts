/** Notification of members about an installed version. */
import type { MemberView, VersionTag } from '../../types/interfaces.js';
import { chooseRandom } from '../../utils/random.js';
import { toAddress } from '../membership/context.js';
import { isPresent } from '../membership/merge.js';
import { getOwnSender, type DistributionContext } from './context.js';

/** Tells a few members of the own data centre, and at a relay the relays elsewhere. */
export function notifyMembers(context: DistributionContext, tag: VersionTag): void {
  const { settings, members, peers, random } = context;
  const present = members
    .listMembers()
    .filter((member) => isPresent(member) && member.record.nodeId !== settings.nodeId);
  const isOwn = ({ record }: MemberView) => record.dataCentre === settings.dataCentre;
  // A member known to have the version needs no notification.
  const behind = present.filter((member) => isOwn(member) && member.tag.version < tag.version);
  const targets = chooseRandom(behind, settings.distribution.notifyFanout, random);
  if (members.isRelay()) {
    const others = present.filter((member) => !isOwn(member));
    const names = new Set(others.map(({ record }) => record.dataCentre));
    for (const name of names) targets.push(...members.listRelays(name as never));
  }
  const params = { from: getOwnSender(context), version: tag.version, digest: tag.digest };
  for (const { record } of targets) peers.notify(toAddress(record), 'config.notify', params);
}
