/** Exchange of member records between data centres. */
import type { PeerAddress } from '../../types/interfaces.js';
import { waitMs } from '../../utils/backoff.js';
import { waitRemaining } from '../../utils/waitRemaining.js';
import { toAddress, type MembershipContext } from './context.js';
import type { ReceivedPing, PingExchange } from './exchange.js';
import { RELAYS_PER_DATA_CENTRE, type RelayRanking } from './relays.js';
import { limitChanges, type AntiEntropy } from './antiEntropy.js';

/** Maximum size of the records in one message to another data centre. */
const MAX_SYNC_BYTES = 64 * 1024;
/** Members of a data centre that are tried in turn while none of them answers. */
const MAX_CANDIDATES = 6;
/**
 * Sync intervals between two exchanges with a reachable data centre while nothing changes. With
 * ten data centres these exchanges take 1.5 KB/s per relay at four intervals, and 5 KB/s at one.
 */
const IDLE_INTERVALS = 6;
/** Part of a sync interval by which an idle exchange may start early, for inexact timers. */
const INTERVAL_TOLERANCE = 0.1;
/**
 * Sync intervals for which the second relay keeps changes as unsent, so that after it takes over it
 * sends those that the first may not have sent. A dead relay is detected in less than 6 s.
 */
const STANDBY_INTERVALS = 10;
/** Time without equal hashes after which tables are compared even if records still change. */
const OVERDUE_MS = 60_000;
/** Consecutive failures after which a data centre is unreachable. */
const UNREACHABLE_FAILURES = 3;

/** Reachability of another data centre from this relay. */
export interface DataCentreView {
  readonly dataCentre: string;
  readonly isReachable: boolean;
  /** Time of the last change of `isReachable`, in Unix milliseconds. */
  readonly sinceMs: number;
}

/** State of the exchange with one other data centre. */
interface RemoteState {
  isReachable: boolean;
  sinceMs: number;
  lastContactMs: number;
  failures: number;
  sentRevision: number;
  sentVersion: number;
  /** Last time the table hashes were equal or a comparison was overdue. */
  lastAgreementMs: number;
}

/** Exchanges records with the relays of other data centres. */
export interface RelayExchange {
  runOnce(): Promise<void>;
  run(): Promise<void>;
  recordPing(ping: ReceivedPing): void;
  listDataCentres(): readonly DataCentreView[];
}

/** Creates the relay task, which is inactive while this node is not a relay. */
export function createRelayExchange(
  context: MembershipContext,
  exchange: PingExchange,
  ranking: RelayRanking,
  antiEntropy: AntiEntropy,
): RelayExchange {
  const { settings, table, logger, signal, random } = context;
  const { relaySyncMs, pingTimeoutMs } = settings.membership;
  const remotes = new Map<string, RemoteState>();
  /** Table revisions at the last `STANDBY_INTERVALS` intervals, oldest first. */
  const revisions: number[] = [];

  const isFirstRelay = () =>
    ranking.listRelays(settings.dataCentre)[0]?.record.nodeId === settings.nodeId;

  const recordRevision = () => {
    revisions.push(table.getRevision());
    if (revisions.length > STANDBY_INTERVALS) revisions.shift();
  };

  /**
   * Lists the records of the local data centre to send. Only the first relay sends them: a second
   * copy took a quarter of a relay's traffic during node restarts. Suspicions end within seconds
   * and are not sent to other data centres.
   */
  const listChanged = (remote: RemoteState) => {
    if (!isFirstRelay()) {
      Object.assign(remote, { sentRevision: Math.max(remote.sentRevision, revisions[0] ?? 0) });
      return [];
    }
    return table
      .list()
      .filter(
        ({ record, revision, verdict }) =>
          record.dataCentre === settings.dataCentre &&
          revision > remote.sentRevision &&
          verdict !== 'suspect',
      )
      .sort((a, b) => a.revision - b.revision);
  };

  const compareTables = (remote: RemoteState, address: PeerAddress, tableHash: string) => {
    const nowMs = Date.now();
    const isOverdue = nowMs - remote.lastAgreementMs > OVERDUE_MS;
    const shouldRecord = isOverdue || tableHash === table.computeHash();
    if (shouldRecord) Object.assign(remote, { lastAgreementMs: nowMs });
    antiEntropy.recordHash(address, tableHash, isOverdue);
  };

  const getRemote = (dataCentre: string): RemoteState => {
    const known = remotes.get(dataCentre);
    if (known) return known;
    const nowMs = Date.now();
    const created = {
      isReachable: true,
      sinceMs: nowMs,
      lastContactMs: 0,
      failures: 0,
      sentRevision: 0,
      sentVersion: 0,
      lastAgreementMs: nowMs,
    };
    remotes.set(dataCentre, created);
    return created;
  };

  const setReachable = (dataCentre: string, remote: RemoteState, isReachable: boolean) => {
    if (remote.isReachable === isReachable) return;
    const durationMs = Date.now() - remote.sinceMs;
    Object.assign(remote, { isReachable, sinceMs: Date.now() });
    const event = isReachable ? 'data-centre-reachable' : 'data-centre-unreachable';
    logger.warn(event, {
      step: 'members.exchange',
      peerDataCentre: dataCentre,
      afterMs: durationMs,
    });
  };

  const recordContact = (dataCentre: string) => {
    const remote = getRemote(dataCentre);
    remote.failures = 0;
    remote.lastContactMs = Date.now();
    setReachable(dataCentre, remote, true);
  };

  const syncDataCentre = async (dataCentre: string) => {
    const remote = getRemote(dataCentre);
    const revision = table.getRevision();
    const changed = listChanged(remote);
    const { version } = context.getTag();
    const isIdle = changed.length === 0 && version === remote.sentVersion && remote.failures === 0;
    // Exchanges started by the other data centre count as contact as well. The absolute value keeps
    // a clock that was set back from stopping the exchanges.
    const sinceContactMs = Math.abs(Date.now() - remote.lastContactMs);
    if (isIdle && sinceContactMs < relaySyncMs * (IDLE_INTERVALS - INTERVAL_TOLERANCE)) return;
    const candidates = ranking.listRanked(dataCentre).slice(0, MAX_CANDIDATES);
    const isFailing = remote.failures > 0;
    const index = isFailing
      ? remote.failures
      : Math.floor(random() * Math.min(RELAYS_PER_DATA_CENTRE, candidates.length));
    const target = candidates[index % Math.max(1, candidates.length)];
    if (!target) return;
    const explicitChanges = limitChanges(changed, MAX_SYNC_BYTES);
    const address = toAddress(target.record);
    const targetId = target.record.nodeId;
    const options = {
      targetId,
      explicitChanges,
      timeoutMs: pingTimeoutMs,
      shouldPiggyback: false,
    };
    const answer = await exchange.ping(address, options);
    if (answer.isErr()) {
      remote.failures += 1;
      if (remote.failures >= UNREACHABLE_FAILURES) setReachable(dataCentre, remote, false);
      return;
    }
    remote.sentVersion = version;
    const isComplete = explicitChanges.length === changed.length;
    const lastRevision = changed[explicitChanges.length - 1]?.revision ?? revision;
    if (isFirstRelay()) remote.sentRevision = isComplete ? revision : lastRevision;
    compareTables(remote, address, answer.value.tableHash);
  };

  const runOnce = async () => {
    recordRevision();
    if (!context.isRelay()) {
      remotes.clear();
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
        await waitRemaining(relaySyncMs, startedMs, signal);
      }
    },
    recordPing: ({ from }) => {
      if (from.dataCentre !== settings.dataCentre && context.isRelay()) {
        recordContact(from.dataCentre);
      }
    },
    listDataCentres: () =>
      [...remotes].map(([dataCentre, { isReachable, sinceMs }]) => ({
        dataCentre,
        isReachable,
        sinceMs,
      })),
  };
}
