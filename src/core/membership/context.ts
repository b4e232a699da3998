/** Context shared by the membership tasks. */
import type { MemberRecord, Sender, Settings } from '../../generated/types.js';
import type {
  PeerAddress,
  PeerClient,
  PlatformClient,
  VersionTag,
} from '../../types/interfaces.js';
import type { Logger } from '../../utils/logger.js';
import type { GossipQueue } from './gossip.js';
import type { Table } from './table.js';

/** Settings, services and state shared by the membership tasks. */
export interface MembershipContext {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly peers: PeerClient;
  readonly platform: PlatformClient;
  readonly table: Table;
  readonly gossip: GossipQueue;
  readonly random: () => number;
  /** Aborted when the membership stops. */
  readonly signal: AbortSignal;
  getSelf(): MemberRecord;
  /** Returns the version tag of the installed configuration. */
  getTag(): VersionTag;
  isRelay(): boolean;
}

/** Returns the sender fields of a message from this process. */
export function getSender({ getSelf }: MembershipContext): Sender {
  const { nodeId, incarnation, dataCentre } = getSelf();
  return { nodeId, incarnation, dataCentre };
}

/** Returns the peer address of a member. */
export function toAddress(record: MemberRecord): PeerAddress {
  return { host: record.host, port: record.peerPort };
}
