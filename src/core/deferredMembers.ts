/** A member table that can be passed to other components before the membership has started. */
import type { MemberTable, MemberView } from '../types/interfaces.js';
import { buildError } from '../errors.js';

/** A member table and the function that connects it. */
export interface DeferredMembers {
  readonly members: MemberTable;
  /** Connects the running membership and registers the listeners that were added earlier. */
  connect(membership: MemberTable): void;
}

/**
 * Creates the table. A node's member record contains its ports, so they open before the membership
 * starts, and the components behind them need the table. Nothing reads it before a configuration is
 * installed.
 */
export function createDeferredMembers(): DeferredMembers {
  let target: MemberTable | undefined;
  const pendingListeners: ((member: MemberView) => void)[] = [];
  const getTarget = (): MemberTable => {
    if (target) return target;
    throw buildError('unavailable', 'members.read', 'self', 'the membership has not started');
  };
  return {
    members: {
      getSelf: () => getTarget().getSelf(),
      getMember: (nodeId) => getTarget().getMember(nodeId),
      listMembers: () => getTarget().listMembers(),
      listByService: (service) => getTarget().listByService(service),
      listRelays: (dataCentre) => getTarget().listRelays(dataCentre),
      isRelay: () => getTarget().isRelay(),
      updateSelf: (change) => getTarget().updateSelf(change),
      onChange: (listener) => {
        if (target) target.onChange(listener);
        else pendingListeners.push(listener);
      },
    },
    connect: (membership) => {
      target = membership;
      for (const listener of pendingListeners.splice(0)) membership.onChange(listener);
    },
  };
}
