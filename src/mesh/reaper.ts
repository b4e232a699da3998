/**
 * Removes the records of nodes that are gone for good. A record removed by mistake costs little:
 * its node writes it again as soon as it sees that it is missing.
 */
import type { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import { NODE_KIND } from './nodeRecord.js';
import type { MeshStore } from './store.js';

/**
 * Silence, or time of leaving, after which a node is taken for gone; longer than a restart or a
 * usual partition.
 */
export const GONE_MS = 60_000;

/** How often gone nodes are looked for; drawn anew each time, so that nodes take turns. */
const CHECK_MS = { min: 10_000, max: 30_000 };

/** A running reaper. */
export interface Reaper {
  stop(): void;
}

/** Removes the records of the nodes that are gone for long now. */
export async function pruneGoneNodes(
  directory: Directory,
  store: Pick<MeshStore, 'remove'>,
  log: EventLog,
  nowMs: number,
): Promise<void> {
  for (const { record, revision } of directory.listGone(GONE_MS, nowMs)) {
    const removed = await store.remove(NODE_KIND, record.nodeId, revision);
    const reason = removed.isErr() ? removed.error.message : undefined;
    log.write('info', 'record-pruned', { peer: record.nodeId, isRemoved: removed.isOk(), reason });
  }
}

/** Looks for gone nodes now and then. */
export function startReaper(directory: Directory, store: MeshStore, log: EventLog): Reaper {
  let timer: NodeJS.Timeout;
  const schedule = () => {
    const waitMs = CHECK_MS.min + Math.random() * (CHECK_MS.max - CHECK_MS.min);
    timer = setTimeout(() => {
      void pruneGoneNodes(directory, store, log, performance.now()).finally(schedule);
    }, waitMs).unref();
  };
  schedule();
  return { stop: () => clearTimeout(timer) };
}
