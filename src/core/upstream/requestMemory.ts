/** What this process has dispatched, so that nothing is dispatched a second time. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { LRUCache } from 'lru-cache';
import type { Call } from '../../types/calls.js';
import type { RequestId } from '../../types/ids.js';

/** Expired entries are removed in steps of this size. */
const BUCKET_MS = 10_000;
/** Stored answers of all requests together; a node has 128 MB in all. */
const MAX_STORED_BYTES = 8 * 1024 * 1024;
/** Largest answer that is stored. */
export const MAX_STORED_ANSWER_BYTES = 32 * 1024;
/** Overhead of an entry beside its body and headers. */
const ENTRY_BYTES = 512;

/** Identity of a call in the memory. */
export interface MemoryKey {
  readonly requestId: RequestId;
  /** Time of arrival. */
  readonly timeMs: number;
  /** Digest of method, path and body: an identifier stands for one request. */
  readonly fingerprint: string;
}

/** How a dispatched call ended. */
export type StoredOutcome =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'handedOver'; readonly detail: string }
  | { readonly kind: 'notRun' };

/** A reserved identifier. The first arrival settles it once. */
export interface Reservation {
  readonly outcome: Promise<StoredOutcome>;
  /** Arrivals that wait for the outcome; the call is cancelled when none is left. */
  waiters: number;
  /** Called when an arrival stops waiting. */
  onWaiterLeft: () => void;
  settle(outcome: StoredOutcome): void;
}

/** What the memory knows of a request. */
export type Remembered =
  | { readonly kind: 'new' }
  | { readonly kind: 'running'; readonly reservation: Reservation }
  | { readonly kind: 'done'; readonly outcome: StoredOutcome }
  | { readonly kind: 'otherRequest' };

/** Memory of the request identifiers that this process dispatched. */
export interface RequestMemory {
  find(key: MemoryKey): Remembered;
  /** Reserves a new request before dispatch; undefined when the memory is full. */
  add(key: MemoryKey): Reservation | undefined;
  count(): number;
}

/** Bounds of a request memory. */
export interface RequestMemoryOptions {
  /** Most requests kept; new ones are refused beyond that. */
  readonly maxKeys: number;
  /** Time for which a request is remembered, in milliseconds. */
  readonly rememberMs: number;
  readonly maxStoredBytes?: number;
}

interface Entry {
  readonly fingerprint: string;
  reservation: Reservation | undefined;
}

/** Derives the identity of a call; undefined for calls that may run any number of times. */
export function deriveMemoryKey(call: Call): MemoryKey | undefined {
  if (call.route.config.repeatability === 'repeatable') return undefined;
  const hash = createHash('sha256').update(`${call.method} ${call.path}\n`).update(call.body);
  const fingerprint = hash.digest('base64url').slice(0, 22);
  return { requestId: call.requestId, timeMs: Date.now(), fingerprint };
}

function countBytes(outcome: StoredOutcome): number {
  if (outcome.kind !== 'answer') return ENTRY_BYTES;
  return ENTRY_BYTES + outcome.body.length + JSON.stringify(outcome.headers).length;
}

function createReservation(onSettle: (outcome: StoredOutcome) => void): Reservation {
  let resolveOutcome: (outcome: StoredOutcome) => void;
  const outcome = new Promise<StoredOutcome>((resolve) => {
    resolveOutcome = resolve;
  });
  return {
    outcome,
    waiters: 0,
    onWaiterLeft: () => {},
    settle(settled) {
      onSettle(settled);
      resolveOutcome(settled);
    },
  };
}

/** Creates an empty memory. */
export function createRequestMemory(options: RequestMemoryOptions): RequestMemory {
  const { maxKeys, rememberMs } = options;
  const entries = new Map<RequestId, Entry>();
  const buckets = new Map<number, Set<RequestId>>();
  const answers = new LRUCache<RequestId, StoredOutcome>({
    max: maxKeys,
    maxSize: options.maxStoredBytes ?? MAX_STORED_BYTES,
    sizeCalculation: countBytes,
    ttl: rememberMs,
  });
  const removeExpired = () => {
    const floorMs = Math.floor((Date.now() - rememberMs) / BUCKET_MS) * BUCKET_MS;
    for (const [bucketMs, requestIds] of buckets) {
      if (bucketMs >= floorMs) continue;
      for (const requestId of requestIds) {
        entries.delete(requestId);
        answers.delete(requestId);
      }
      buckets.delete(bucketMs);
    }
  };

  const getBucket = (timeMs: number): Set<RequestId> => {
    const bucketMs = Math.floor(timeMs / BUCKET_MS) * BUCKET_MS;
    let bucket = buckets.get(bucketMs);
    if (!bucket) {
      bucket = new Set();
      buckets.set(bucketMs, bucket);
    }
    return bucket;
  };

  const findEntry = (key: MemoryKey, entry: Entry): Remembered => {
    if (entry.fingerprint !== key.fingerprint) return { kind: 'otherRequest' };
    if (entry.reservation) return { kind: 'running', reservation: entry.reservation };
    const outcome = answers.get(key.requestId);
    if (outcome) return { kind: 'done', outcome };
    const detail = 'the request was handed over before and its answer is not kept';
    return { kind: 'done', outcome: { kind: 'handedOver', detail } };
  };

  return {
    find(key) {
      removeExpired();
      const entry = entries.get(key.requestId);
      return entry ? findEntry(key, entry) : { kind: 'new' };
    },
    add(key) {
      if (entries.size >= maxKeys) return undefined;
      const entry: Entry = { fingerprint: key.fingerprint, reservation: undefined };
      const bucket = getBucket(key.timeMs);
      entries.set(key.requestId, entry);
      bucket.add(key.requestId);
      entry.reservation = createReservation((outcome) => {
        entry.reservation = undefined;
        if (entries.get(key.requestId) !== entry) return;
        if (outcome.kind === 'notRun') {
          entries.delete(key.requestId);
          bucket.delete(key.requestId);
        } else if (outcome.kind === 'answer') {
          answers.set(key.requestId, outcome);
        }
      });
      return entry.reservation;
    },
    count: () => entries.size,
  };
}
