/** Exchange of records with other data centres. */
import type { PeerAddress } from '../../types/interfaces.js';
import { waitMs } from '../../utils/backoff.js';
import { toAddress, type MembershipContext } from './context.js';
import type { Heard, PingExchange } from './exchange.js';
import type { RelayRanking } from './relays.js';
import { limitChanges, type AntiEntropy } from './antiEntropy.js';

/** Bytes of own records sent to another data centre in one message. */
const SYNC_BYTES = 64 * 1024;
/** Members of a data centre that are tried in turn while none answers. */
const TRIED_MEMBERS = 6;
/**
 * Intervals between two exchanges with a reachable data centre while there is nothing new. With
 * ten data centres a relay spent 1.5 KB/s on them at four intervals, and would 5 KB/s at one.
 */
const IDLE_INTERVALS = 6;
/**
 * Intervals for which the second relay holds changes back, so that it sends what the first relay
 * may not have sent when it takes over. A dead relay is found in less than 6 s.
 */
const HELD_INTERVALS = 10;
/** Time after which tables that never agreed are compared, although records still change. */
const OVERDUE_MS = 60_000;
/** Failures in a row after which a data centre counts as unreachable. */
const UNREACHABLE_FAILURES = 3;

/** Reachability of a data centre as seen by this relay. */
export interface DataCentreView {
  readonly dataCentre: string;
  readonly isReachable: boolean;
  /** Time (`Date.now`) since which this holds. */
  readonly sinceMs: number;
}

interface Link {
  isReachable: boolean;
  sinceMs: number;
  contactMs: number;
  failures: number;
  sentRevision: number;
  sentVersion: number;
  /** Last time at which both tables had the same hash, or were compared. */
  agreedMs: number;
}

/** Exchanges records with the relays of other data centres. */
export interface RelayExchange {
  runOnce(): Promise<void>;
  run(): Promise<void>;
  recordHeard(heard: Heard): void;
  listDataCentres(): readonly DataCentreView[];
}

/** Creates the relay task; it does nothing while this node is no relay. */
export function createRelayExchange(
  context: MembershipContext,
  exchange: PingExchange,
  ranking: RelayRanking,
  antiEntropy: AntiEntropy,
): RelayExchange {
  const { settings, table, logger, signal, random } = context;
  const { relaySyncMs, pingTimeoutMs } = settings.membership;
  const links = new Map<string, Link>();
  /** Revisions of the table at the last intervals, oldest first. */
  const revisions: number[] = [];

  const isFirst = () =>
    ranking.listRelays(settings.dataCentre)[0]?.record.nodeId === settings.nodeId;

  const recordRevision = () => {
    revisions.push(table.getRevision());
    if (revisions.length > HELD_INTERVALS) revisions.shift();
  };

  /**
   * Own records to send. The first relay sends them for both: a second copy of each took a
   * quarter of a relay's bytes when nodes restarted. Suspicions end in seconds and stay at home.
   */
  const listChanged = (link: Link) => {
    if (!isFirst()) {
      Object.assign(link, { sentRevision: Math.max(link.sentRevision, revisions[0] ?? 0) });
      return [];
    }
    return table
      .list()
      .filter(
        ({ record, revision, verdict }) =>
          record.dataCentre === settings.dataCentre &&
          revision > link.sentRevision &&
          verdict !== 'suspect',
      )
      .sort((a, b) => a.revision - b.revision);
  };

  const compareTables = (link: Link, address: PeerAddress, tableHash: string) => {
    const nowMs = Date.now();
    const isOverdue = nowMs - link.agreedMs > OVERDUE_MS;
    if (isOverdue || tableHash === table.computeHash()) Object.assign(link, { agreedMs: nowMs });
    antiEntropy.recordHash(address, tableHash, isOverdue);
  };

  const getLink = (dataCentre: string): Link => {
    const known = links.get(dataCentre);
    if (known) return known;
    const nowMs = Date.now();
    const created = {
      isReachable: true,
      sinceMs: nowMs,
      contactMs: 0,
      failures: 0,
      sentRevision: 0,
      sentVersion: 0,
      agreedMs: nowMs,
    };
    links.set(dataCentre, created);
    return created;
  };

  const setReachable = (dataCentre: string, link: Link, isReachable: boolean) => {
    if (link.isReachable === isReachable) return;
    const forMs = Date.now() - link.sinceMs;
    Object.assign(link, { isReachable, sinceMs: Date.now() });
    const event = isReachable ? 'data-centre-reachable' : 'data-centre-unreachable';
    logger.warn(event, { step: 'members.exchange', peerDataCentre: dataCentre, afterMs: forMs });
  };

  const recordContact = (dataCentre: string) => {
    const link = getLink(dataCentre);
    link.failures = 0;
    link.contactMs = Date.now();
    setReachable(dataCentre, link, true);
  };

  const syncDataCentre = async (dataCentre: string) => {
    const link = getLink(dataCentre);
    const revision = table.getRevision();
    const changed = listChanged(link);
    const { version } = context.getTag();
    const isIdle = changed.length === 0 && version === link.sentVersion && link.failures === 0;
    // An exchange that the other side started serves both.
    if (isIdle && Date.now() - link.contactMs < relaySyncMs * (IDLE_INTERVALS - 0.1)) return;
    const candidates = ranking.listRanked(dataCentre).slice(0, TRIED_MEMBERS);
    const isFailing = link.failures > 0;
    const index = isFailing ? link.failures : Math.floor(random() * Math.min(2, candidates.length));
    const target = candidates[index % Math.max(1, candidates.length)];
    if (!target) return;
    const first = limitChanges(changed, SYNC_BYTES);
    const address = toAddress(target.record);
    const targetId = target.record.nodeId;
    const options = { targetId, first, timeoutMs: pingTimeoutMs, isOwn: false };
    const answer = await exchange.ping(address, options);
    if (answer.isErr()) {
      link.failures += 1;
      if (link.failures >= UNREACHABLE_FAILURES) setReachable(dataCentre, link, false);
      return;
    }
    link.sentVersion = version;
    const isComplete = first.length === changed.length;
    const lastRevision = changed[first.length - 1]?.revision ?? revision;
    if (isFirst()) link.sentRevision = isComplete ? revision : lastRevision;
    compareTables(link, address, answer.value.tableHash);
  };

  const runOnce = async () => {
    recordRevision();
    if (!context.isRelay()) {
      links.clear();
      return;
    }
    const others = ranking.listDataCentres().filter((name) => name !== settings.dataCentre);
    await Promise.all(others.map(syncDataCentre));
  };

  return {
    runOnce,
    run: async () => {
      await waitMs(random() * relaySyncMs, signal);
      while (!signal.aborted) {
        const startedMs = Date.now();
        await runOnce();
        await waitMs(Math.max(0, relaySyncMs - (Date.now() - startedMs)), signal);
      }
    },
    recordHeard: ({ from }) => {
      if (from.dataCentre !== settings.dataCentre && context.isRelay()) {
        recordContact(from.dataCentre);
      }
    },
    listDataCentres: () =>
      [...links].map(([dataCentre, { isReachable, sinceMs }]) => ({
        dataCentre,
        isReachable,
        sinceMs,
      })),
  };
}
