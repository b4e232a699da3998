/** Follows the objects of one kind: a list, then watches, and a new list when history is gone. */
import { computeDelayMs, waitMs as wait } from '../utils/backoff.js';
import type { EventLog } from './eventLog.js';
import type { MeshStore, StoreEvent, StoreList } from './store.js';

/**
 * Wait of one watch. Together with the timeout of the client it bounds how long a connection that
 * went silent can hide a change.
 */
const WATCH_MS = 3300;

/** Wait of the first watch after a failure: a store that is back answers it soon. */
const FIRST_WATCH_MS = 300;

/** Backoff after a failed call; a store that comes back is noticed within its bound. */
const BACKOFF = { baseMs: 150, maxMs: 900 };

/** Receives what a watch finds. */
export interface KindListener {
  applyList(list: StoreList): void;
  applyEvent(event: StoreEvent): void;
}

/** Options of a watch. */
export interface WatchKindOptions {
  readonly store: MeshStore;
  readonly kind: string;
  readonly listener: KindListener;
  readonly log: EventLog;
  readonly isStopped: () => boolean;
}

/** Follows a kind until it is stopped. Never throws. */
export async function watchKind(options: WatchKindOptions): Promise<void> {
  const { store, kind, listener, log, isStopped } = options;
  let revision: number | undefined;
  let failures = 0;
  const recordFailure = async (step: string, reason: string): Promise<void> => {
    if (failures === 0) log.write('warn', 'store-lost', { step, peer: kind, reason });
    failures += 1;
    await wait(computeDelayMs(BACKOFF, failures));
  };
  const recordSuccess = () => {
    if (failures > 0) log.write('info', 'store-regained', { peer: kind, failures });
    failures = 0;
  };
  while (!isStopped()) {
    if (revision === undefined) {
      const listed = await store.list(kind);
      if (listed.isErr()) {
        await recordFailure(listed.error.step, listed.error.message);
        continue;
      }
      recordSuccess();
      listener.applyList(listed.value);
      revision = listed.value.revision;
    }
    const waitMs = failures === 0 ? WATCH_MS : FIRST_WATCH_MS;
    const watched = await store.watch(kind, revision, waitMs);
    if (watched.isErr()) {
      if (watched.error.kind === 'stale') {
        log.write('info', 'history-gone', { peer: kind, revision });
        revision = undefined;
      } else {
        await recordFailure(watched.error.step, watched.error.message);
      }
      continue;
    }
    recordSuccess();
    for (const event of watched.value.events) listener.applyEvent(event);
    revision = Math.max(revision, watched.value.revision);
  }
}
