/** Long polls for object changes of the platform stand-in. */
import type { ServerResponse } from 'node:http';
import { sendJson } from '../http.js';
import type { PlatformCounters } from './counters.js';
import type { PlatformFaults } from './faults.js';
import type { Change, ObjectStore } from './store.js';

/** State of the server that watches use. */
export interface WatchContext {
  readonly store: ObjectStore;
  readonly faults: PlatformFaults;
  readonly counters: PlatformCounters;
  /** Open responses of the waiting watches, so that a fault can close them. */
  readonly waitingResponses: Set<ServerResponse>;
}

/** Object that is watched and query parameters of the request. */
export interface WatchTarget {
  readonly kind: string;
  readonly name: string;
  readonly query: URLSearchParams;
}

const MAX_WAIT_MS = 120_000;

/** Delay of a stale response, so that the client does not poll in a busy loop. */
const STALE_RESPONSE_DELAY_MS = 50;

function parseNumber(text: string | null): number | undefined {
  return text !== null && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

/** Returns the change before the newest one of the object, or the only one. */
function findStaleChange(store: ObjectStore, target: WatchTarget): Change | undefined {
  const changes = store.listChanges(target.kind, target.name, store.oldestWatchableVersion);
  return changes?.at(-2) ?? changes?.at(-1);
}

/** Resolves on a change of the object, after `waitMs`, or when the connection closes. */
function waitForChange(
  context: WatchContext,
  target: WatchTarget,
  waitMs: number,
  response: ServerResponse,
): Promise<void> {
  const { store, waitingResponses, counters, faults } = context;
  return new Promise((resolve) => {
    let unsubscribe = () => {};
    let timer: NodeJS.Timeout;
    const finish = () => {
      unsubscribe();
      clearTimeout(timer);
      response.removeListener('close', finish);
      if (waitingResponses.delete(response)) counters.waitingWatches -= 1;
      resolve();
    };
    unsubscribe = store.onChange((kind, name) => {
      if (kind === target.kind && name === target.name && !faults.staleWatch) finish();
    });
    timer = setTimeout(finish, waitMs);
    response.once('close', finish);
    waitingResponses.add(response);
    counters.waitingWatches += 1;
    if (faults.cutWatches) response.destroy();
  });
}

/** Responds to a watch at once when there are changes, otherwise after the next one or `waitMs`. */
export async function handleWatch(
  context: WatchContext,
  target: WatchTarget,
  response: ServerResponse,
): Promise<void> {
  const { store, faults } = context;
  const from = parseNumber(target.query.get('from'));
  const waitMs = parseNumber(target.query.get('waitMs') ?? '0');
  if (from === undefined || waitMs === undefined) {
    return sendJson(response, 400, { error: 'from and waitMs are whole numbers' });
  }
  const boundedMs = Math.min(waitMs, MAX_WAIT_MS);
  if (faults.staleWatch) {
    await waitForChange(context, target, Math.min(boundedMs, STALE_RESPONSE_DELAY_MS), response);
    const stale = findStaleChange(store, target);
    return sendJson(response, 200, { version: from, changes: stale === undefined ? [] : [stale] });
  }
  let changes = store.listChanges(target.kind, target.name, from);
  if (changes?.length === 0 && boundedMs > 0) {
    await waitForChange(context, target, boundedMs, response);
    changes = store.listChanges(target.kind, target.name, from);
  }
  if (changes === undefined) return sendJson(response, 410, { error: 'from is no longer known' });
  return sendJson(response, 200, { version: store.version, changes });
}
