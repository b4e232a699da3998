/** Refusals in the member records of relays, so that every other node checks the version too. */
import type { DistributionContext } from './context.js';

/** Maximum length of the reason in a member record; the node status contains it in full. */
const MAX_REASON_LENGTH = 256;

/**
 * Publishes the refusal in the record of this node while it is a relay. Pings contain only
 * installed versions, so otherwise only the relays, which read the platform, would know a refused
 * one. The records of the two relays reach all nodes of a data centre; if every node published its
 * refusal, each bad version would change all records.
 */
export function publishRefusals({ members, store }: DistributionContext): void {
  const publish = () => {
    const refusal = members.isRelay() ? store.getLastRefusal() : undefined;
    if (!refusal && !members.getSelf().refused) return;
    const reason = refusal?.reason.slice(0, MAX_REASON_LENGTH) ?? '';
    members.updateSelf({ refused: refusal && { ...refusal, reason } });
  };
  store.onRefuse(publish);
  store.onInstall(publish);
  // The relay role depends on the member table.
  members.onChange(publish);
}
