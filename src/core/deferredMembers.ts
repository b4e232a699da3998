/** A member table that can be handed out before the membership has started. */
import type { MemberTable, MemberView } from '../types/interfaces.js';
import { buildError } from '../errors.js';

/** A member table and the function that connects it. */
export interface DeferredMembers {
  readonly members: MemberTable;
  /** Connects the running membership and registers the listeners that came before. */
  connect(membership: MemberTable): void;
}

/**
 * Creates the table. The own record names the ports that are open, so the ports open first, and
 * their parts need the table. Nothing reads it before a configuration is installed.
 */
export function createDeferredMembers(): DeferredMembers {
  let target: MemberTable | undefined;
  const waiting: ((member: MemberView) => void)[] = [];
  const require = (): MemberTable => {
    if (target) return target;
    throw buildError('unavailable', 'members.read', 'self', 'the membership has not started');
  };
  return {
    members: {
      getSelf: () => require().getSelf(),
      getMember: (nodeId) => require().getMember(nodeId),
      listMembers: () => require().listMembers(),
      listByService: (service) => require().listByService(service),
      listRelays: (dataCentre) => require().listRelays(dataCentre),
      isRelay: () => require().isRelay(),
      updateSelf: (change) => require().updateSelf(change),
      onChange: (listener) => {
        if (target) target.onChange(listener);
        else waiting.push(listener);
      },
    },
    connect: (membership) => {
      target = membership;
      for (const listener of waiting.splice(0)) membership.onChange(listener);
    },
  };
}
