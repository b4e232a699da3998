/** Key partitions of the services on this host: which caller-supplied keys may run here. */
import { toStepError, type StepError } from '../../errors.js';
import { brandText, type ServiceName } from '../../types/ids.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import {
  computeKeyPartition,
  getPartitionRankKey,
  KEY_PARTITION_COUNT,
} from '../../utils/keyPartition.js';
import type { Logger } from '../../utils/logger.js';
import { computeScore } from '../../utils/rendezvous.js';
import { deriveKeyVerdict, isWithin, type KeyVerdict, type UuidKey } from './keyVerdict.js';
import {
  isFirstRanked,
  isOwnerGone,
  isOwnerLeaving,
  isReadyFor,
  type Members,
} from './partitionClaim.js';
import { createPartitionLease, type PartitionLease } from './partitionLease.js';

const HORIZON_MS = 120_000;
const RENEW_MS = 30_000;
const PASS_MS = 1000;
/** Time for which an upstream may restart before its node gives its partitions away. */
const NOT_READY_GRACE_MS = 10_000;
/** A call waits this long for the owner to be read from the platform. */
const READ_WAIT_MS = 250;
/** Reads for calls, at most one per partition in this time. */
const READ_INTERVAL_MS = 1000;
const RETRY = { baseMs: 1000, maxMs: 8000 };

/** Ownership of the key partitions. */
export interface KeyPartitions {
  /** Decides whether a key may be dispatched here; reads the owner when it is not known. */
  checkKey(service: ServiceName, key: UuidKey): Promise<KeyVerdict>;
  /** Decides the same at the moment of the hand-over; nothing may be awaited in between. */
  takeKey(service: ServiceName, key: UuidKey): KeyVerdict;
  /** Claims and renews periodically until `stop`. */
  start(): void;
  /** Claims, renews and releases what is due. */
  runPass(): Promise<void>;
  /**
   * True for a key of an interval that this process gave away: no other process may run it, so
   * it may be dispatched here as long as the node still answers.
   */
  isRetained(service: ServiceName, key: UuidKey): boolean;
  /** Gives all partitions away; afterwards only retained keys are dispatched. */
  stop(): Promise<void>;
  listHeld(): readonly { readonly name: string; readonly from: number; readonly until: number }[];
}

/** What the key partitions need. */
export interface KeyPartitionsOptions {
  readonly platform: Pick<PlatformClient, 'read' | 'create' | 'update'>;
  readonly members: Members;
  readonly incarnation: string;
  readonly logger: Logger;
  /** Wall clock in milliseconds; decides when to renew and claim, never what may run. */
  readonly now?: () => number;
  readonly random?: () => number;
}

interface Partition {
  readonly service: ServiceName;
  readonly rankKey: string;
  readonly lease: PartitionLease;
  /** Offset of the renewals within the renewal interval. */
  readonly phaseMs: number;
  renewAtMs: number;
  retryAtMs: number;
  failures: number;
  readAtMs: number;
  endedOwner: string | undefined;
  readySeenMs: number;
  isBusy: boolean;
}

/** Returns the next time at `phaseMs` of the interval that is at least a quarter of it away. */
export function computeRenewAt(nowMs: number, phaseMs: number): number {
  const earliestMs = nowMs + RENEW_MS / 4;
  return earliestMs + ((((phaseMs - earliestMs) % RENEW_MS) + RENEW_MS) % RENEW_MS);
}

/** Creates the key partitions of a node; nothing is claimed before `start` or `runPass`. */
export function createKeyPartitions(options: KeyPartitionsOptions): KeyPartitions {
  const { platform, members, incarnation, logger } = options;
  const now = options.now ?? Date.now;
  const random = options.random ?? Math.random;
  const partitions = new Map<string, Partition>();
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const getPartition = (service: ServiceName, index: number): Partition => {
    const rankKey = getPartitionRankKey(service, index);
    const known = partitions.get(rankKey);
    if (known) return known;
    const { nodeId } = members.getSelf();
    const name = `keypartitions/${rankKey}`;
    const step = RENEW_MS / KEY_PARTITION_COUNT;
    const partition: Partition = {
      service,
      rankKey,
      lease: createPartitionLease({
        platform,
        name,
        nodeId,
        incarnation,
        horizonMs: HORIZON_MS,
        now,
      }),
      phaseMs: (computeScore(service, nodeId) % step) + index * step,
      renewAtMs: 0,
      retryAtMs: 0,
      failures: 0,
      readAtMs: -Infinity,
      endedOwner: undefined,
      readySeenMs: now(),
      isBusy: false,
    };
    partitions.set(rankKey, partition);
    return partition;
  };

  const deriveVerdict = (partition: Partition, timeMs: number): KeyVerdict =>
    deriveKeyVerdict(partition, timeMs, members, isStopped);

  const recordFailure = (partition: Partition, operation: string, error: StepError) => {
    const { rankKey } = partition;
    const next = partition;
    next.retryAtMs = now() + 250 + computeDelayMs(RETRY, next.failures, random);
    next.failures += 1;
    const { peer, message } = error;
    const step = `keys.${operation}`;
    logger.warn('partition-failed', { step, peer, partition: rankKey, reason: message });
  };

  /** True when no owner holds the partition and this node ranks first for it. */
  const canClaim = (partition: Partition): boolean => {
    const { lease, service, rankKey } = partition;
    const view = lease.getView();
    if (typeof view === 'string') return isFirstRanked(members, service, rankKey, undefined);
    const isExpired = view.until <= now();
    if (!isExpired && !isOwnerGone(members, view)) return false;
    // The owner of an expired interval could not renew it: it is no candidate.
    const isSelf = view.nodeId === members.getSelf().nodeId;
    return isFirstRanked(members, service, rankKey, isSelf ? undefined : view.nodeId);
  };

  /**
   * True when it is worth reading whether the partition can be claimed. A leaving owner truncates
   * its interval. A claim before that would begin at the old end, and no one could run the keys
   * up to there.
   */
  const shouldRead = (partition: Partition): boolean => {
    const { lease, service, rankKey } = partition;
    const view = lease.getView();
    if (typeof view === 'string' || !isOwnerLeaving(members, view)) return canClaim(partition);
    return isFirstRanked(members, service, rankKey, view.nodeId);
  };

  const claimIfDue = async (partition: Partition): Promise<void> => {
    const { lease } = partition;
    if (!shouldRead(partition)) return;
    // What was seen may be old: the owner may have renewed or truncated it since.
    const read = await lease.read();
    if (read.isErr()) {
      recordFailure(partition, 'read', read.error);
      return;
    }
    if (isStopped || (!lease.getHeld() && !canClaim(partition))) return;
    const claimed = await lease.claim();
    if (claimed.isErr()) {
      recordFailure(partition, 'claim', claimed.error);
      return;
    }
    const next = partition;
    next.failures = 0;
    // An interval that was adopted may be near its end; it is renewed in the next pass.
    const leftMs = (lease.getHeld()?.until ?? 0) - now();
    next.renewAtMs = leftMs < HORIZON_MS / 2 ? 0 : computeRenewAt(now(), partition.phaseMs);
    logger.info('partition-claimed', { partition: partition.rankKey, ...lease.getHeld() });
  };

  const renewIfDue = async (partition: Partition): Promise<void> => {
    const next = partition;
    if (now() < partition.renewAtMs) return;
    const renewed = await partition.lease.renew();
    if (renewed.isErr()) {
      recordFailure(partition, 'renew', renewed.error);
      return;
    }
    next.failures = 0;
    next.renewAtMs = computeRenewAt(now(), partition.phaseMs);
  };

  const runPartition = async (partition: Partition): Promise<void> => {
    const next = partition;
    const { lease, service } = partition;
    if (partition.isBusy || isStopped) return;
    const isReady = isReadyFor(members.getSelf(), service);
    if (isReady) next.readySeenMs = now();
    next.isBusy = true;
    try {
      if (!isReady && now() - partition.readySeenMs > NOT_READY_GRACE_MS) {
        if (lease.getHeld()) await lease.release();
      } else if (isReady && now() >= partition.retryAtMs) {
        if (lease.getHeld()) await renewIfDue(partition);
        else await claimIfDue(partition);
      }
    } finally {
      next.isBusy = false;
    }
  };

  const runPass = async (): Promise<void> => {
    const self = members.getSelf();
    for (const { service } of self.instances) {
      const name = brandText<ServiceName>(service);
      if (!isReadyFor(self, name)) continue;
      for (let index = 0; index < KEY_PARTITION_COUNT; index += 1) getPartition(name, index);
    }
    await Promise.all([...partitions.values()].map(runPartition));
  };

  const readForCall = async (partition: Partition): Promise<void> => {
    const next = partition;
    if (now() - partition.readAtMs < READ_INTERVAL_MS) return;
    next.readAtMs = now();
    const readOwner = async () => {
      const read = await partition.lease.read();
      const view = partition.lease.getView();
      if (read.isErr() || typeof view === 'string') return;
      if (isOwnerGone(members, view)) next.endedOwner = view.incarnation;
    };
    const timeout = new AbortController();
    await Promise.race([readOwner(), waitMs(READ_WAIT_MS, timeout.signal)]);
    timeout.abort();
  };

  const schedulePass = (delayMs: number) => {
    timer = setTimeout(() => {
      // A slow platform holds back the partitions that wait for it, not the next pass.
      runPass().catch((thrown: unknown) => {
        const { step, peer, message } = toStepError(thrown, 'keys.pass', 'platform');
        logger.error('partition-pass-failed', { step, peer, reason: message });
      });
      if (!isStopped) schedulePass(PASS_MS);
    }, delayMs);
  };

  return {
    async checkKey(service, key) {
      const partition = getPartition(service, computeKeyPartition(key.text));
      const verdict = deriveVerdict(partition, key.issuedAtMs);
      const isFinal = partition.lease.getHeld() !== undefined || verdict.kind === 'allowed';
      const hasHint = verdict.kind === 'notRun' && verdict.reason === 'wrong-node';
      if (isFinal || hasHint || isStopped) return verdict;
      await readForCall(partition);
      return deriveVerdict(partition, key.issuedAtMs);
    },
    takeKey(service, key) {
      const partition = getPartition(service, computeKeyPartition(key.text));
      const verdict = deriveVerdict(partition, key.issuedAtMs);
      if (verdict.kind === 'allowed') partition.lease.recordTaken(key.issuedAtMs);
      return verdict;
    },
    isRetained(service, key) {
      const partition = getPartition(service, computeKeyPartition(key.text));
      return isWithin(partition.lease.getRetained(), key.issuedAtMs);
    },
    start: () => schedulePass(random() * PASS_MS),
    runPass,
    async stop() {
      isStopped = true;
      clearTimeout(timer);
      await Promise.all([...partitions.values()].map(({ lease }) => lease.release()));
    },
    listHeld() {
      const held = [];
      for (const { rankKey, lease } of partitions.values()) {
        const bounds = lease.getHeld();
        if (bounds) held.push({ name: rankKey, from: bounds.from, until: bounds.until });
      }
      return held;
    },
  };
}
