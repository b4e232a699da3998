/** Exchange of pings and acks. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { MemberChange, Ping, PingIndirect, Sender } from '../../generated/types.js';
import { brandVersion, type Digest } from '../../types/ids.js';
import type { PeerAddress, VersionTag } from '../../types/interfaces.js';
import { formatHostPort } from '../../utils/address.js';
import { getSender, type MembershipContext } from './context.js';
import { compareIncarnations } from './incarnation.js';
import { compareChanges } from './merge.js';
import type { ChangeReceiver } from './receive.js';
import { toChange } from './table.js';

/** A received ping or ack. */
export interface ReceivedPing {
  readonly from: Sender;
  readonly tag: VersionTag;
  readonly tableHash: string;
  readonly direction: 'ping' | 'ack';
}

/** Options of one ping. */
export interface PingOptions {
  /** Node that must answer; if absent, any node may. */
  readonly targetId?: string;
  readonly timeoutMs?: number;
  /** Changes sent before the piggybacked ones. */
  readonly explicitChanges?: readonly MemberChange[];
  /**
   * Whether to piggyback queued changes; default true. False for targets in other data centres,
   * where it would use up transmissions meant for the members of the local one.
   */
  readonly shouldPiggyback?: boolean;
}

/** Sends and answers pings. */
export interface PingExchange {
  ping(address: PeerAddress, options?: PingOptions): Promise<Result<Ping, StepError>>;
  handlePing(params: Ping): Result<Ping, StepError>;
  handlePingIndirect(params: PingIndirect): Promise<Result<{ reached: boolean }, StepError>>;
  onPingReceived(listener: (ping: ReceivedPing) => void): void;
}

function combineChanges(
  explicitChanges: readonly MemberChange[],
  piggybacked: readonly MemberChange[],
) {
  const explicitIds = new Set(explicitChanges.map((change) => change.record.nodeId));
  return [
    ...explicitChanges,
    ...piggybacked.filter((change) => !explicitIds.has(change.record.nodeId)),
  ];
}

/**
 * Creates the exchange. `getReceiver` is a function because the receiver sends pings itself and is
 * therefore created after the exchange.
 */
export function createExchange(
  context: MembershipContext,
  getReceiver: () => ChangeReceiver,
): PingExchange {
  const { table, gossip, peers, settings } = context;
  const listeners: ((ping: ReceivedPing) => void)[] = [];

  const buildMessage = (
    explicitChanges: readonly MemberChange[],
    shouldPiggyback: boolean,
    excluded?: ReadonlySet<string>,
  ): Ping => {
    const tag = context.getTag();
    const { version, digest } = tag;
    table.setTag(settings.nodeId, tag);
    const changes = combineChanges(explicitChanges, shouldPiggyback ? gossip.take(excluded) : []);
    return { from: getSender(context), version, digest, tableHash: table.computeHash(), changes };
  };

  /** Lists the ids of the members for which a received change equals the table entry. */
  const listSharedIds = (changes: readonly MemberChange[]): Set<string> => {
    const isShared = (change: MemberChange) => {
      const entry = table.get(change.record.nodeId);
      return entry !== undefined && compareChanges(entry, change) === 0;
    };
    return new Set(changes.filter(isShared).map(({ record }) => record.nodeId));
  };

  /**
   * Omits the digest and table hash of an answer if they equal those of the ping. This saves a
   * third of the traffic while nothing changes.
   */
  const omitUnchanged = (answer: Ping, { version, digest, tableHash }: Ping): Ping => ({
    ...answer,
    digest: answer.version === version && answer.digest === digest ? '' : answer.digest,
    tableHash: answer.tableHash === tableHash ? '' : answer.tableHash,
  });

  /** Restores the fields that `omitUnchanged` left out of the answer of the peer. */
  const restoreOmitted = (answer: Ping, { version, digest, tableHash }: Ping): Ping => ({
    ...answer,
    digest: answer.version === version && answer.digest === '' ? digest : answer.digest,
    tableHash: answer.tableHash === '' ? tableHash : answer.tableHash,
  });

  const handleMessage = (message: Ping, direction: ReceivedPing['direction']) => {
    const { from, version, digest, tableHash, changes } = message;
    getReceiver().receive(changes, from, true);
    const tag: VersionTag = { version: brandVersion(version), digest: digest as Digest | '' };
    if (table.get(from.nodeId)?.record.incarnation === from.incarnation) {
      table.setTag(from.nodeId, tag);
    }
    for (const listener of listeners) listener({ from, tag, tableHash, direction });
  };

  const ping = async (address: PeerAddress, options: PingOptions = {}) => {
    const { targetId, explicitChanges = [], shouldPiggyback = true } = options;
    const { timeoutMs = settings.membership.pingTimeoutMs } = options;
    const message = buildMessage(explicitChanges, shouldPiggyback);
    const answer = await peers.request<Ping>(address, 'ping', message, timeoutMs);
    if (answer.isErr()) {
      gossip.restore(message.changes.slice(explicitChanges.length));
      return err(answer.error);
    }
    const { from } = answer.value;
    const peer = formatHostPort(address.host, address.port);
    if (targetId !== undefined && from.nodeId !== targetId) {
      return err(buildError('mismatch', 'ping', peer, `${from.nodeId} answers for ${targetId}`));
    }
    if (from.nodeId === settings.nodeId) {
      return err(buildError('mismatch', 'ping', peer, 'the address is this node'));
    }
    const known = table.get(from.nodeId)?.record.incarnation;
    if (known !== undefined && compareIncarnations(from.incarnation, known) < 0) {
      return err(
        buildError('stale', 'ping', peer, `answer from an earlier process of ${from.nodeId}`),
      );
    }
    const restored = restoreOmitted(answer.value, message);
    handleMessage(restored, 'ack');
    return ok(restored);
  };

  return {
    ping,
    handlePing: (params) => {
      handleMessage(params, 'ping');
      const sender = table.get(params.from.nodeId);
      // A suspect or dead sender receives its verdict, so that it can refute it.
      const explicitChanges = sender && sender.verdict !== 'alive' ? [toChange(sender)] : [];
      const shouldPiggyback = params.from.dataCentre === settings.dataCentre;
      // Changes that arrived with this ping are not sent back in the ack.
      const excluded = listSharedIds(params.changes);
      return ok(omitUnchanged(buildMessage(explicitChanges, shouldPiggyback, excluded), params));
    },
    handlePingIndirect: async ({ target, targetId }) => {
      const answer = await ping(target, { targetId });
      return ok({ reached: answer.isOk() });
    },
    onPingReceived: (listener) => listeners.push(listener),
  };
}
