/** Anti-entropy: comparison and repair of the member tables of two nodes. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type {
  MemberChange,
  MembersBuckets,
  MembersBucketsAnswer,
  MembersPush,
  MembersSummary,
  MembersSummaryAnswer,
} from '../../generated/types.js';
import type { PeerAddress } from '../../types/interfaces.js';
import { formatHostPort } from '../../utils/address.js';
import { computeBucketCount, locateBucket } from './bucketHashes.js';
import { getSender, type MembershipContext } from './context.js';
import { measureChange } from './gossip.js';
import { compareRecords, isPresent } from './merge.js';
import type { ChangeReceiver } from './receive.js';
import { toChange, type Entry } from './table.js';

/** Maximum number of records in one answer or push, as in the schema. */
const MAX_CHANGES = 1000;
/** Maximum size of the records in one answer or push: half of the line limit. */
const MAX_CHANGES_BYTES = 1024 * 1024;
/** Time-out of a request of a table comparison. */
const SUMMARY_TIMEOUT_MS = 2000;
/** Ping intervals without a change before hashes are compared; until then gossip may be running. */
const STABLE_INTERVALS = 5;
/** Minimum and maximum time between two comparisons that this node starts. */
const MIN_COMPARISON_GAP_MS = 5000;
const MAX_COMPARISON_GAP_MS = 60_000;
/** Factor by which that time grows after a comparison that repaired nothing. */
const GAP_BACKOFF_FACTOR = 2;

type Row = MembersSummary['summary'][number];
type Buckets = MembersSummary['buckets'];

/** Compares the member table with other members and exchanges the differing records. */
export interface AntiEntropy {
  /**
   * Starts a comparison if the hashes differ and gossip is not expected to repair the difference,
   * because this table has not changed recently or the difference is overdue.
   */
  recordHash(address: PeerAddress, tableHash: string, isOverdue?: boolean): void;
  /**
   * Compares tables immediately and returns the number of repaired records. With `shouldGossip`,
   * received changes that were new are piggybacked on pings.
   */
  runComparison(address: PeerAddress, shouldGossip: boolean): Promise<Result<number, StepError>>;
  handleBuckets(params: MembersBuckets): Result<MembersBucketsAnswer, StepError>;
  handleSummary(params: MembersSummary): Result<MembersSummaryAnswer, StepError>;
  handlePush(params: MembersPush): Result<object, StepError>;
}

/** Returns the leading changes that fit into `maxBytes` and the record limit of a message. */
export function limitChanges(entries: readonly Entry[], maxBytes: number): MemberChange[] {
  const changes: MemberChange[] = [];
  let bytes = 0;
  for (const entry of entries) {
    const change = toChange(entry);
    bytes += measureChange(change);
    if (bytes > maxBytes || changes.length >= MAX_CHANGES) break;
    changes.push(change);
  }
  return changes;
}

function toRow({ record, verdict }: Entry): Row {
  const isLeft = verdict === 'alive' && record.state === 'left';
  return [record.nodeId, record.incarnation, record.sequence, isLeft ? 'left' : verdict];
}

function compareRow(entry: Entry, [, incarnation, sequence, verdict]: Row): number {
  const byRecord = compareRecords(entry.record, { incarnation, sequence });
  const ranks = { alive: 0, left: 0, suspect: 1, dead: 2 };
  return byRecord || ranks[entry.verdict] - ranks[verdict];
}

/** Creates the table comparison of this node. */
export function createAntiEntropy(
  context: MembershipContext,
  receiver: ChangeReceiver,
): AntiEntropy {
  const { table, peers, settings, logger } = context;
  let isRunning = false;
  let gapMs = MIN_COMPARISON_GAP_MS;
  let comparedAtMs = -Infinity;

  const listEntries = (buckets: Buckets): readonly Entry[] => {
    if (!buckets) return table.list();
    const differing = new Set(buckets.differing);
    return table
      .list()
      .filter(({ record }) => differing.has(locateBucket(record.nodeId, buckets.count)));
  };

  /** Requests which buckets differ, so that only their rows are sent; undefined for all rows. */
  const findDiffering = async (address: PeerAddress): Promise<Result<Buckets, StepError>> => {
    const count = computeBucketCount(table.list().length);
    if (count === 0) return ok(undefined);
    const answer = await peers.request<MembersBucketsAnswer>(
      address,
      'members.buckets',
      { from: getSender(context), hashes: table.listBucketHashes(count) },
      SUMMARY_TIMEOUT_MS,
    );
    return answer.map(({ differing }) => ({ count, differing }));
  };

  const runSummary = async (address: PeerAddress, buckets: Buckets, shouldGossip: boolean) => {
    const from = getSender(context);
    const answer = await peers.request<MembersSummaryAnswer>(
      address,
      'members.summary',
      { from, buckets, summary: listEntries(buckets).map(toRow) },
      SUMMARY_TIMEOUT_MS,
    );
    return answer.map(({ changes, wanted }) => {
      const acceptedCount = receiver.receive(changes, undefined, shouldGossip);
      const entries = wanted.map((nodeId) => table.get(nodeId)).filter((entry) => !!entry);
      const push = limitChanges(entries, MAX_CHANGES_BYTES);
      if (push.length > 0) peers.notify(address, 'members.push', { from, changes: push });
      return acceptedCount + push.length;
    });
  };

  const runComparison = async (address: PeerAddress, shouldGossip: boolean) => {
    const buckets = await findDiffering(address);
    if (buckets.isErr()) return err(buckets.error);
    if (buckets.value?.differing.length === 0) return ok(0);
    return runSummary(address, buckets.value, shouldGossip);
  };

  const runRepair = async (address: PeerAddress) => {
    isRunning = true;
    const result = await runComparison(address, true);
    isRunning = false;
    const repaired = result.unwrapOr(0);
    // Comparisons that repair nothing are repeated at increasing intervals.
    gapMs =
      repaired > 0
        ? MIN_COMPARISON_GAP_MS
        : Math.min(MAX_COMPARISON_GAP_MS, gapMs * GAP_BACKOFF_FACTOR);
    comparedAtMs = Date.now();
    logger.debug('member-tables-compared', {
      peer: formatHostPort(address.host, address.port),
      repaired,
    });
  };

  return {
    runComparison,
    recordHash: (address, tableHash, isOverdue = false) => {
      const nowMs = Date.now();
      // The absolute value keeps a clock that was set back from delaying comparisons.
      const isEarly = Math.abs(nowMs - comparedAtMs) < gapMs;
      if (isRunning || isEarly || tableHash === table.computeHash()) return;
      const stableMs = STABLE_INTERVALS * settings.membership.pingIntervalMs;
      if (!isOverdue && Math.abs(nowMs - table.getChangedAtMs()) < stableMs) return;
      void runRepair(address);
    },
    handleBuckets: ({ hashes }) => {
      const own = table.listBucketHashes(hashes.length);
      const differing = [...own.keys()].filter((bucket) => own[bucket] !== hashes[bucket]);
      return ok({ differing });
    },
    handleSummary: ({ buckets, summary }) => {
      const rows = new Map(summary.map((row) => [row[0], row]));
      const newer = listEntries(buckets).filter((entry) => {
        const row = rows.get(entry.record.nodeId);
        // A tombstone is sent only if the requester still has the member in its table.
        return row ? compareRow(entry, row) > 0 : isPresent(entry);
      });
      const wanted = summary.filter((row) => {
        const entry = table.get(row[0]);
        if (row[0] === settings.nodeId) return false;
        return entry ? compareRow(entry, row) < 0 : row[3] !== 'dead' && row[3] !== 'left';
      });
      return ok({
        changes: limitChanges(newer, MAX_CHANGES_BYTES),
        wanted: wanted.map((row) => row[0]),
      });
    },
    handlePush: ({ from, changes }) => {
      receiver.receive(changes, from, true);
      return ok({});
    },
  };
}
