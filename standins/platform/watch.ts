/** Waiting watches of the platform stand-in. */
import type { ServerResponse } from 'node:http';
import { sendJson } from '../http.js';
import type { PlatformCounters } from './counters.js';
import type { PlatformFaults } from './faults.js';
import type { Change, ObjectStore } from './store.js';

/** What a watch needs of its server. */
export interface WatchContext {
  readonly store: ObjectStore;
  readonly faults: PlatformFaults;
  readonly counters: PlatformCounters;
  /** Responses of the watches that wait now, so that a fault can cut them. */
  readonly waiting: Set<ServerResponse>;
}

/** Object and query of a watch. */
export interface WatchTarget {
  readonly kind: string;
  readonly name: string;
  readonly query: URLSearchParams;
}

const MAX_WAIT_MS = 120_000;

/** Time after which a stale watch answers, so that its reader does not loop without a pause. */
const STALE_PAUSE_MS = 50;

function parseNumber(text: string | null): number | undefined {
  return text !== null && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

/** Returns the change before the newest one, from the whole log. */
function findStaleChange(store: ObjectStore, target: WatchTarget): Change | undefined {
  const changes = store.listChanges(target.kind, target.name, store.oldestKnown);
  return changes?.at(-2) ?? changes?.at(-1);
}

/** Waits for a change, the end of the wait or the loss of the connection. */
function waitForChange(
  context: WatchContext,
  target: WatchTarget,
  waitMs: number,
  response: ServerResponse,
): Promise<void> {
  const { store, waiting, counters, faults } = context;
  return new Promise((resolve) => {
    let ignoreChanges = () => {};
    let timer: NodeJS.Timeout;
    const finish = () => {
      ignoreChanges();
      clearTimeout(timer);
      response.removeListener('close', finish);
      if (waiting.delete(response)) counters.waitingWatches -= 1;
      resolve();
    };
    ignoreChanges = store.onChange((kind, name) => {
      if (kind === target.kind && name === target.name && !faults.staleWatch) finish();
    });
    timer = setTimeout(finish, waitMs);
    response.once('close', finish);
    waiting.add(response);
    counters.waitingWatches += 1;
    if (faults.cutWatches) response.destroy();
  });
}

/** Answers one watch at once when there are changes, otherwise after the next one or the wait. */
export async function answerWatch(
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
    await waitForChange(context, target, Math.min(boundedMs, STALE_PAUSE_MS), response);
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
