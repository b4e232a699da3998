/** Comparison of member tables between two nodes. */
import { ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type {
  MemberChange,
  MembersPush,
  MembersSummary,
  MembersSummaryAnswer,
} from '../../generated/types.js';
import type { PeerAddress } from '../../types/interfaces.js';
import { formatHostPort } from '../../utils/address.js';
import { getSender, type MembershipContext } from './context.js';
import { measureChange } from './gossip.js';
import { compareRecords } from './merge.js';
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

/** Compares tables with other members and exchanges what differs. */
export interface AntiEntropy {
  /** Starts an exchange when the hashes differ and gossip alone will not repair it. */
  recordHash(address: PeerAddress, tableHash: string): void;
  /** Exchanges summaries now. `spread` repeats what was new on pings. */
  runSummary(address: PeerAddress, spread: boolean): Promise<Result<number, StepError>>;
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

function compareRow(entry: Entry, [, incarnation, sequence, verdict]: Row): number {
  const byRecord = compareRecords(entry.record, { incarnation, sequence });
  const ranks = { alive: 0, suspect: 1, dead: 2 };
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
  let notBeforeMs = 0;

  const buildSummary = (): Row[] =>
    table
      .list()
      .map(({ record, verdict }) => [record.nodeId, record.incarnation, record.sequence, verdict]);

  const runSummary = async (address: PeerAddress, spread: boolean) => {
    const from = getSender(context);
    const answer = await peers.request<MembersSummaryAnswer>(
      address,
      'members.summary',
      { from, summary: buildSummary() },
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

  const runRepair = async (address: PeerAddress) => {
    isRunning = true;
    const result = await runSummary(address, true);
    isRunning = false;
    const repaired = result.unwrapOr(0);
    // A difference that an exchange does not settle is looked at ever less often.
    gapMs = repaired > 0 ? MIN_GAP_MS : Math.min(MAX_GAP_MS, gapMs * 2);
    notBeforeMs = Date.now() + gapMs;
    logger.debug('member-tables-compared', {
      peer: formatHostPort(address.host, address.port),
      repaired,
    });
  };

  return {
    runSummary,
    recordHash: (address, tableHash) => {
      const nowMs = Date.now();
      if (isRunning || tableHash === table.computeHash() || nowMs < notBeforeMs) return;
      const quietMs = QUIET_INTERVALS * settings.membership.pingIntervalMs;
      if (nowMs - table.getChangedAtMs() < quietMs) return;
      void runRepair(address);
    },
    handleSummary: ({ summary }) => {
      const rows = new Map(summary.map((row) => [row[0], row]));
      const newer = table.list().filter((entry) => {
        const row = rows.get(entry.record.nodeId);
        // A tombstone is sent only to those that still hold the member.
        if (!row) return entry.verdict !== 'dead' && entry.record.state !== 'left';
        return compareRow(entry, row) > 0;
      });
      const wanted = summary.filter((row) => {
        const entry = table.get(row[0]);
        if (row[0] === settings.nodeId) return false;
        return entry ? compareRow(entry, row) < 0 : row[3] !== 'dead';
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
