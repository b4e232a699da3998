/**
 * Removes the records of expired nodes from the store. If the node of a removed record still runs,
 * it writes the record again when it observes the removal.
 */
import type { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import { NODE_KIND } from './nodeRecord.js';
import type { MeshStore } from './store.js';

/**
 * Time without a response, or in state `leaving`, after which a record expires. It is longer than a
 * restart or a usual network partition.
 */
export const RECORD_EXPIRY_MS = 60_000;

/** Bounds of the random time between two checks; it differs so that nodes check in turn. */
const CHECK_INTERVAL_MS = { min: 10_000, max: 30_000 };

export interface RecordPruner {
  stop(): void;
}

/** Removes each expired record if its revision has not changed. */
export async function pruneExpiredRecords(
  directory: Directory,
  store: Pick<MeshStore, 'remove'>,
  log: EventLog,
  nowMs: number,
): Promise<void> {
  for (const { record, revision } of directory.listExpired(RECORD_EXPIRY_MS, nowMs)) {
    const removed = await store.remove(NODE_KIND, record.nodeId, revision);
    const reason = removed.isErr() ? removed.error.message : undefined;
    log.write('info', 'record-pruned', { peer: record.nodeId, isRemoved: removed.isOk(), reason });
  }
}

/** Starts periodic pruning. */
export function startRecordPruner(
  directory: Directory,
  store: MeshStore,
  log: EventLog,
): RecordPruner {
  let timer: NodeJS.Timeout;
  const schedule = () => {
    const waitMs =
      CHECK_INTERVAL_MS.min + Math.random() * (CHECK_INTERVAL_MS.max - CHECK_INTERVAL_MS.min);
    timer = setTimeout(() => {
      void pruneExpiredRecords(directory, store, log, performance.now()).finally(schedule);
    }, waitMs).unref();
  };
  schedule();
  return { stop: () => clearTimeout(timer) };
}
