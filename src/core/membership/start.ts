/** Starts the tasks of the membership. */
import { err, ok } from 'neverthrow';
import { buildError } from '../../errors.js';
import type { MemberChange, MemberRecord, Settings } from '../../generated/types.js';
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
import { createExchange, type Heard } from './exchange.js';
import { createGossipQueue } from './gossip.js';
import { compareIncarnations } from './incarnation.js';
import { createJoiner } from './join.js';
import { createReceiver, type ChangeReceiver } from './receive.js';
import { createRelayRanking } from './relays.js';
import { createRelayExchange, type DataCentreView } from './relayExchange.js';
import { createSeedWriter } from './seeds.js';
import { createAntiEntropy } from './antiEntropy.js';
import { createTable, toChange } from './table.js';

/** Parts that the membership uses. */
export interface MembershipOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly peers: PeerClient;
  readonly platform: PlatformClient;
  /** Own record with the ports that are really open. */
  readonly self: MemberRecord;
  /** Installed version, sent with every ping and ack. */
  readonly getTag: () => VersionTag;
  readonly random?: () => number;
}

/** The running membership of a node. */
export interface Membership extends MemberTable {
  /** Methods for the peer server. */
  readonly methods: PeerMethods;
  /** Refuses messages from an earlier incarnation of a known member. */
  readonly checkSender: SenderCheck;
  /** Calls the listener with the version tag of each ping and ack. */
  onHeard(listener: (heard: Heard) => void): void;
  /** Other data centres as this relay reaches them; empty while this node is no relay. */
  listDataCentres(): readonly DataCentreView[];
  /** Table as changes, for answers to members that know nobody yet. */
  listOwnChanges(): readonly MemberChange[];
  /** Resolves when a seed has answered with its table. */
  readonly joined: Promise<void>;
  stop(): Promise<void>;
}

/** True when a node or one of its instances takes no new work any more. */
function offersLess(before: MemberRecord, after: MemberRecord): boolean {
  if (after.state !== before.state) return after.state === 'leaving' || after.state === 'left';
  return before.instances.some(({ instanceId, state }) => {
    const now = after.instances.find((instance) => instance.instanceId === instanceId);
    return state !== 'draining' && (now === undefined || now.state === 'draining');
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
  let duplicate = '';
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

  const writeSelf = (record: MemberRecord) => {
    self = record;
    table.apply({ record, verdict: 'alive' });
    gossip.add(record.nodeId);
  };

  const refute = ({ record, verdict }: MemberChange) => {
    const order = compareIncarnations(record.incarnation, self.incarnation);
    if (order > 0) {
      if (record.incarnation === duplicate) return;
      duplicate = record.incarnation;
      const { nodeId: peer, incarnation, host } = record;
      logger.error('node-id-used-twice', { step: 'members.refute', peer, incarnation, host });
      return;
    }
    const isBehind = record.sequence > self.sequence;
    const isAccused = verdict !== 'alive' && record.sequence >= self.sequence;
    if (order < 0 || (!isBehind && !isAccused)) return;
    logger.info('verdict-refuted', { verdict, sequence: record.sequence });
    writeSelf({ ...self, sequence: record.sequence + 1 });
  };

  const exchange = createExchange(context, () => receiver);
  receiver = createReceiver(
    context,
    async (change) => {
      const { record, verdict } = change;
      const first = verdict === 'alive' ? [] : [change];
      const isOwn = record.dataCentre === settings.dataCentre;
      const pingOptions = { targetId: record.nodeId, first, isOwn };
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
  exchange.onHeard(relayExchange.recordHeard);
  exchange.onHeard(({ from, tableHash, direction }) => {
    const sender = table.get(from.nodeId);
    // Only the side that pinged compares, so that one difference starts one exchange.
    if (direction === 'ack' && sender && from.dataCentre === settings.dataCentre) {
      antiEntropy.recordHash(toAddress(sender.record), tableHash);
    }
  });

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
    },
    checkSender: (from) => {
      const known = table.get(from.nodeId)?.record.incarnation;
      if (known === undefined || compareIncarnations(from.incarnation, known) >= 0) {
        return ok(undefined);
      }
      const reason = `incarnation ${from.incarnation} was replaced by ${known}`;
      return err(buildError('stale', 'peer.sender', from.nodeId, reason));
    },
    onHeard: exchange.onHeard,
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
      // An unchanged record is not sent again.
      if (JSON.stringify({ ...self, ...change }) === JSON.stringify(self)) return;
      const before = self;
      writeSelf({ ...self, ...change, sequence: self.sequence + 1 });
      if (offersLess(before, self)) pushSelf();
    },
    onChange: table.onChange,
    stop: async () => {
      stopping.abort();
      await tasks;
    },
  };
}
