/** Start of the membership tasks. */
import { err, ok } from 'neverthrow';
import { buildError } from '../../errors.js';
import type { MemberChange, MemberRecord, MembersLookup, Settings } from '../../generated/types.js';
import type { DataCentre } from '../../types/ids.js';
import type {
  MemberTable,
  PeerClient,
  PlatformClient,
  VersionTag,
} from '../../types/interfaces.js';
import type { Logger } from '../../utils/logger.js';
import type { PeerMethods, SenderCheck } from '../peer/dispatcher.js';
import { getSender, toAddress, type MembershipContext } from './context.js';
import { createDetector } from './detector.js';
import { createExchange, type ReceivedPing } from './exchange.js';
import { createGossipQueue } from './gossip.js';
import { compareIncarnations } from './incarnation.js';
import { createJoiner } from './join.js';
import { createReceiver, type ChangeReceiver } from './receive.js';
import { createRelayRanking } from './relays.js';
import { createRelayExchange, type DataCentreView } from './relayExchange.js';
import { createSeedWriter } from './seeds.js';
import { createAntiEntropy } from './antiEntropy.js';
import { createTable, toChange } from './table.js';

/** Options of the membership. */
export interface MembershipOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly peers: PeerClient;
  readonly platform: PlatformClient;
  /** Initial record of this node, with the ports it listens on. */
  readonly self: MemberRecord;
  /** Returns the installed configuration version, which is sent with every ping and ack. */
  readonly getTag: () => VersionTag;
  readonly random?: () => number;
}

/** The running membership of a node. */
export interface Membership extends MemberTable {
  /** JSON-RPC methods to register with the peer server. */
  readonly methods: PeerMethods;
  /** Refuses messages from an earlier incarnation of a known member. */
  readonly checkSender: SenderCheck;
  /** Calls the listener for each received ping and ack. */
  onPingReceived(listener: (ping: ReceivedPing) => void): void;
  /** Lists the reachability of the other data centres; empty while this node is not a relay. */
  listDataCentres(): readonly DataCentreView[];
  /** Lists the present members of the local data centre as changes, to send to other nodes. */
  listOwnChanges(): readonly MemberChange[];
  /** Resolves after the first table comparison with a seed. */
  readonly joined: Promise<void>;
  stop(): Promise<void>;
}

/** Returns true if the node or one of its instances has stopped accepting calls. */
function hasStoppedAccepting(before: MemberRecord, after: MemberRecord): boolean {
  if (after.state !== before.state) return after.state === 'leaving' || after.state === 'left';
  return before.instances.some(({ instanceId, state }) => {
    const current = after.instances.find((instance) => instance.instanceId === instanceId);
    return state !== 'draining' && (current === undefined || current.state === 'draining');
  });
}

/** Starts the membership tasks: joining, failure detection, relay sync and seed list. */
export function startMembership(options: MembershipOptions): Membership {
  const { settings, logger, peers, platform, random = Math.random } = options;
  const stopping = new AbortController();
  const table = createTable(options.self);
  const gossip = createGossipQueue(table, settings.dataCentre);
  const ranking = createRelayRanking(table);
  let { self } = options;
  let reportedIncarnation = '';
  let receiver: ChangeReceiver;

  const isRelay = () =>
    ranking.listRelays(settings.dataCentre).some(({ record }) => record.nodeId === settings.nodeId);
  const context: MembershipContext = {
    settings,
    logger,
    peers,
    platform,
    table,
    gossip,
    random,
    signal: stopping.signal,
    getSelf: () => self,
    getTag: options.getTag,
    isRelay,
  };

  const replaceSelf = (record: MemberRecord) => {
    self = record;
    table.apply({ record, verdict: 'alive' });
    gossip.add(record.nodeId);
  };

  const refute = ({ record, verdict }: MemberChange) => {
    const order = compareIncarnations(record.incarnation, self.incarnation);
    if (order > 0) {
      if (record.incarnation === reportedIncarnation) return;
      reportedIncarnation = record.incarnation;
      const { nodeId: peer, incarnation, host } = record;
      logger.error('node-id-used-twice', { step: 'members.refute', peer, incarnation, host });
      return;
    }
    const isOwnRecordOlder = record.sequence > self.sequence;
    const hasNegativeVerdict = verdict !== 'alive' && record.sequence >= self.sequence;
    if (order < 0 || (!isOwnRecordOlder && !hasNegativeVerdict)) return;
    logger.info('verdict-refuted', { verdict, sequence: record.sequence });
    replaceSelf({ ...self, sequence: record.sequence + 1 });
  };

  const exchange = createExchange(context, () => receiver);
  receiver = createReceiver(
    context,
    async (change) => {
      const { record, verdict } = change;
      const explicitChanges = verdict === 'alive' ? [] : [change];
      const shouldPiggyback = record.dataCentre === settings.dataCentre;
      const pingOptions = { targetId: record.nodeId, explicitChanges, shouldPiggyback };
      const answer = await exchange.ping(toAddress(record), pingOptions);
      return answer.isOk() && answer.value.from.incarnation === record.incarnation;
    },
    refute,
  );
  const antiEntropy = createAntiEntropy(context, receiver);
  const detector = createDetector(context, exchange, receiver);
  const relayExchange = createRelayExchange(context, exchange, ranking, antiEntropy);
  const seedWriter = createSeedWriter(context, ranking);
  let onJoined = () => {};
  const joined = new Promise<void>((resolve) => {
    onJoined = resolve;
  });
  const joiner = createJoiner(context, exchange, antiEntropy, ranking, onJoined);

  gossip.add(self.nodeId);
  exchange.onPingReceived(relayExchange.recordPing);
  exchange.onPingReceived(({ from, tableHash, direction }) => {
    const sender = table.get(from.nodeId);
    // Only the side that sent the ping compares, so that a difference starts a single comparison.
    if (direction === 'ack' && sender && from.dataCentre === settings.dataCentre) {
      antiEntropy.recordHash(toAddress(sender.record), tableHash);
    }
  });

  /** Sends this node's record to all local members and to the relays of other data centres. */
  const pushSelf = () => {
    const params = { from: getSender(context), changes: [{ record: self, verdict: 'alive' }] };
    const others = ranking.listDataCentres().filter((name) => name !== settings.dataCentre);
    const targets = [
      ...table.listPresent(settings.dataCentre),
      ...others.flatMap((name) => ranking.listRelays(name)),
    ];
    for (const { record } of targets) {
      if (record.nodeId !== self.nodeId) peers.notify(toAddress(record), 'members.push', params);
    }
  };

  const tasks = Promise.all([joiner.run(), detector.run(), relayExchange.run(), seedWriter.run()]);

  return {
    methods: {
      ping: exchange.handlePing,
      pingIndirect: exchange.handlePingIndirect,
      'members.buckets': antiEntropy.handleBuckets,
      'members.summary': antiEntropy.handleSummary,
      'members.push': antiEntropy.handlePush,
      'members.lookup': ({ nodeId }: MembersLookup) =>
        ok({ incarnation: table.get(nodeId)?.record.incarnation }),
    },
    checkSender: (from) => {
      const known = table.get(from.nodeId)?.record.incarnation;
      if (known === undefined || compareIncarnations(from.incarnation, known) >= 0) {
        return ok(undefined);
      }
      const reason = `incarnation ${from.incarnation} was replaced by ${known}`;
      return err(buildError('stale', 'peer.sender', from.nodeId, reason));
    },
    onPingReceived: exchange.onPingReceived,
    listDataCentres: relayExchange.listDataCentres,
    listOwnChanges: () => table.listPresent(settings.dataCentre).map(toChange),
    joined,
    getSelf: () => self,
    getMember: (nodeId) => table.get(nodeId),
    listMembers: () => table.list(),
    listByService: table.listByService,
    listRelays: (dataCentre: DataCentre) => ranking.listRelays(dataCentre),
    isRelay,
    updateSelf: (change) => {
      // Updates that change nothing are not sent.
      if (JSON.stringify({ ...self, ...change }) === JSON.stringify(self)) return;
      const before = self;
      replaceSelf({ ...self, ...change, sequence: self.sequence + 1 });
      if (hasStoppedAccepting(before, self)) pushSelf();
    },
    onChange: table.onChange,
    stop: async () => {
      stopping.abort();
      await tasks;
    },
  };
}
