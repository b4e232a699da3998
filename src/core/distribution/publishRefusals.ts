/** Refusals in the member records of relays, which make every other node judge the version too. */
import type { DistributionContext } from './context.js';

/** Longest reason in a member record; the status of the node has it in full. */
const MAX_RECORD_REASON = 256;

/**
 * Keeps the refusal in the own record while this node is a relay. A version that is not installed
 * travels with no ping, so without this only the relays, which read it from the platform, would
 * know of it. Two records of a data centre are enough to tell all its nodes; if every node
 * published its refusal, each bad version would change and spread all records.
 */
export function publishRefusals({ members, store }: DistributionContext): void {
  const publish = () => {
    const refusal = members.isRelay() ? store.getLastRefusal() : undefined;
    if (!refusal && !members.getSelf().refused) return;
    const reason = refusal?.reason.slice(0, MAX_RECORD_REASON) ?? '';
    members.updateSelf({ refused: refusal && { ...refusal, reason } });
  };
  store.onRefuse(publish);
  store.onInstall(publish);
  // The role of relay moves with the table.
  members.onChange(publish);
}
