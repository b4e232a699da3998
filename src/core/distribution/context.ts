/** Dependencies that the distribution tasks share. */
import type { Sender, Settings } from '../../generated/types.js';
import type { PeerClient, PlatformClient } from '../../types/interfaces.js';
import type { Logger } from '../../utils/logger.js';
import type { Membership } from '../membership/start.js';
import type { DistributionStore } from './store.js';

/** The part of the membership that the distribution uses. */
export type DistributionMembers = Pick<
  Membership,
  | 'getSelf'
  | 'getMember'
  | 'listMembers'
  | 'listRelays'
  | 'isRelay'
  | 'listOwnChanges'
  | 'onChange'
  | 'onPingReceived'
  | 'updateSelf'
  | 'joined'
>;

/** Dependencies that the distribution tasks share. */
export interface DistributionContext {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly peers: PeerClient;
  readonly platform: PlatformClient;
  readonly members: DistributionMembers;
  readonly store: DistributionStore;
  /** Resolves when a local upstream has announced itself and the floor of its cookie is applied. */
  readonly upstreamAnnounced?: Promise<void>;
  readonly random: () => number;
  /** Aborted when the distribution stops. */
  readonly signal: AbortSignal;
}

/** Returns the sender fields of a message from this process. */
export function getOwnSender({ members }: DistributionContext): Sender {
  const { nodeId, incarnation, dataCentre } = members.getSelf();
  return { nodeId, incarnation, dataCentre };
}
