/** Pings and their acks. */
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

/** A ping or ack that was received, with the address that answers for its sender. */
export interface Heard {
  readonly from: Sender;
  readonly tag: VersionTag;
  readonly tableHash: string;
  readonly direction: 'ping' | 'ack';
}

/** Options of one ping. */
export interface PingOptions {
  /** Node that must answer; any when absent. */
  readonly targetId?: string;
  readonly timeoutMs?: number;
  /** Changes that go first, besides the piggybacked ones. */
  readonly first?: readonly MemberChange[];
  /** False for a target elsewhere, which would use up repetitions meant for the own members. */
  readonly isOwn?: boolean;
}

/** Sends and answers pings. */
export interface PingExchange {
  ping(address: PeerAddress, options?: PingOptions): Promise<Result<Ping, StepError>>;
  handlePing(params: Ping): Result<Ping, StepError>;
  handlePingIndirect(params: PingIndirect): Promise<Result<{ reached: boolean }, StepError>>;
  onHeard(listener: (heard: Heard) => void): void;
}

function mergeFirst(first: readonly MemberChange[], piggybacked: readonly MemberChange[]) {
  const named = new Set(first.map((change) => change.record.nodeId));
  return [...first, ...piggybacked.filter((change) => !named.has(change.record.nodeId))];
}

/** Creates the exchange; `getReceiver` breaks the cycle between probes and received changes. */
export function createExchange(
  context: MembershipContext,
  getReceiver: () => ChangeReceiver,
): PingExchange {
  const { table, gossip, peers, settings } = context;
  const listeners: ((heard: Heard) => void)[] = [];

  const build = (
    first: readonly MemberChange[],
    isOwn: boolean,
    excluded?: ReadonlySet<string>,
  ): Ping => {
    const tag = context.getTag();
    const { version, digest } = tag;
    table.setTag(settings.nodeId, tag);
    const changes = mergeFirst(first, isOwn ? gossip.take(excluded) : []);
    return { from: getSender(context), version, digest, tableHash: table.computeHash(), changes };
  };

  /** Members of a ping whose changes its sender holds as they are here. */
  const listShared = (changes: readonly MemberChange[]): Set<string> => {
    const isShared = (change: MemberChange) => {
      const entry = table.get(change.record.nodeId);
      return entry !== undefined && compareChanges(entry, change) === 0;
    };
    return new Set(changes.filter(isShared).map(({ record }) => record.nodeId));
  };

  /** Leaves out of an answer what is the same in its ping: a third of the bytes in a quiet mesh. */
  const limitAnswer = (answer: Ping, { version, digest, tableHash }: Ping): Ping => ({
    ...answer,
    digest: answer.version === version && answer.digest === digest ? '' : answer.digest,
    tableHash: answer.tableHash === tableHash ? '' : answer.tableHash,
  });

  const restoreAnswer = (answer: Ping, { version, digest, tableHash }: Ping): Ping => ({
    ...answer,
    digest: answer.version === version && answer.digest === '' ? digest : answer.digest,
    tableHash: answer.tableHash === '' ? tableHash : answer.tableHash,
  });

  const handle = (message: Ping, direction: Heard['direction']) => {
    const { from, version, digest, tableHash, changes } = message;
    getReceiver().receive(changes, from, true);
    const tag: VersionTag = { version: brandVersion(version), digest: digest as Digest | '' };
    if (table.get(from.nodeId)?.record.incarnation === from.incarnation) {
      table.setTag(from.nodeId, tag);
    }
    for (const listener of listeners) listener({ from, tag, tableHash, direction });
  };

  const ping = async (address: PeerAddress, options: PingOptions = {}) => {
    const { targetId, first = [], isOwn = true } = options;
    const { timeoutMs = settings.membership.pingTimeoutMs } = options;
    const message = build(first, isOwn);
    const answer = await peers.request<Ping>(address, 'ping', message, timeoutMs);
    if (answer.isErr()) {
      gossip.restore(message.changes.slice(first.length));
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
    const restored = restoreAnswer(answer.value, message);
    handle(restored, 'ack');
    return ok(restored);
  };

  return {
    ping,
    handlePing: (params) => {
      handle(params, 'ping');
      const sender = table.get(params.from.nodeId);
      // A sender with a bad verdict is told, so that it refutes.
      const first = sender && sender.verdict !== 'alive' ? [toChange(sender)] : [];
      const isOwn = params.from.dataCentre === settings.dataCentre;
      // A change that has just come with the ping is not sent back in its answer.
      return ok(limitAnswer(build(first, isOwn, listShared(params.changes)), params));
    },
    handlePingIndirect: async ({ target, targetId }) => {
      const answer = await ping(target, { targetId });
      return ok({ reached: answer.isOk() });
    },
    onHeard: (listener) => listeners.push(listener),
  };
}
