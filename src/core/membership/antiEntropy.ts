/** Comparison of member tables between two nodes. */
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

/** Records in one answer or push; the schema allows no more. */
const MAX_CHANGES = 1000;
/** Bytes of records in one answer or push, half of the line limit. */
const MAX_CHANGES_BYTES = 1024 * 1024;
/** Time allowed to a summary exchange. */
const SUMMARY_TIMEOUT_MS = 2000;
/** A table that changed this recently is still being gossiped: a differing hash is expected. */
const QUIET_INTERVALS = 5;
/** Shortest and longest time between two summary exchanges that this node starts. */
const MIN_GAP_MS = 5000;
const MAX_GAP_MS = 60_000;

type Row = MembersSummary['summary'][number];
type Buckets = MembersSummary['buckets'];

/** Compares tables with other members and exchanges what differs. */
export interface AntiEntropy {
  /**
   * Starts a comparison when the hashes differ and gossip alone will not repair it: when the own
   * table is quiet, or when the difference is overdue.
   */
  recordHash(address: PeerAddress, tableHash: string, isOverdue?: boolean): void;
  /** Compares tables now. `spread` repeats what was new on pings. */
  runComparison(address: PeerAddress, spread: boolean): Promise<Result<number, StepError>>;
  handleBuckets(params: MembersBuckets): Result<MembersBucketsAnswer, StepError>;
  handleSummary(params: MembersSummary): Result<MembersSummaryAnswer, StepError>;
  handlePush(params: MembersPush): Result<object, StepError>;
}

/** Returns as many changes as fit in one message. */
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

/** Creates the table comparison of a node. */
export function createAntiEntropy(
  context: MembershipContext,
  receiver: ChangeReceiver,
): AntiEntropy {
  const { table, peers, settings, logger } = context;
  let isRunning = false;
  let gapMs = MIN_GAP_MS;
  let comparedAtMs = -Infinity;

  const listEntries = (buckets: Buckets): readonly Entry[] => {
    if (!buckets) return table.list();
    const differing = new Set(buckets.differing);
    return table
      .list()
      .filter(({ record }) => differing.has(locateBucket(record.nodeId, buckets.count)));
  };

  /** Asks which buckets differ, so that rows are sent of those alone. */
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

  const runSummary = async (address: PeerAddress, buckets: Buckets, spread: boolean) => {
    const from = getSender(context);
    const answer = await peers.request<MembersSummaryAnswer>(
      address,
      'members.summary',
      { from, buckets, summary: listEntries(buckets).map(toRow) },
      SUMMARY_TIMEOUT_MS,
    );
    return answer.map(({ changes, wanted }) => {
      const taken = receiver.receive(changes, undefined, spread);
      const entries = wanted.map((nodeId) => table.get(nodeId)).filter((entry) => !!entry);
      const push = limitChanges(entries, MAX_CHANGES_BYTES);
      if (push.length > 0) peers.notify(address, 'members.push', { from, changes: push });
      return taken + push.length;
    });
  };

  const runComparison = async (address: PeerAddress, spread: boolean) => {
    const buckets = await findDiffering(address);
    if (buckets.isErr()) return err(buckets.error);
    if (buckets.value?.differing.length === 0) return ok(0);
    return runSummary(address, buckets.value, spread);
  };

  const runRepair = async (address: PeerAddress) => {
    isRunning = true;
    const result = await runComparison(address, true);
    isRunning = false;
    const repaired = result.unwrapOr(0);
    // A difference that an exchange does not settle is looked at ever less often.
    gapMs = repaired > 0 ? MIN_GAP_MS : Math.min(MAX_GAP_MS, gapMs * 2);
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
      // Absolute, so that a clock that was set back holds no comparison up.
      const isEarly = Math.abs(nowMs - comparedAtMs) < gapMs;
      if (isRunning || isEarly || tableHash === table.computeHash()) return;
      const quietMs = QUIET_INTERVALS * settings.membership.pingIntervalMs;
      if (!isOverdue && Math.abs(nowMs - table.getChangedAtMs()) < quietMs) return;
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
        // A tombstone is sent only to those that still hold the member.
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
