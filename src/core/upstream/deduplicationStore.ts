/** Stores the identifiers and outcomes of dispatched requests, so that none is dispatched twice. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { LRUCache } from 'lru-cache';
import type { Call } from '../../types/calls.js';
import type { RequestId } from '../../types/ids.js';

/** Entries are grouped by time of arrival and removed one group at a time. */
const BUCKET_MS = 10_000;
/** Limit for all stored answers together; a node may use 128 MB of memory in total. */
const MAX_STORED_BYTES = 8 * 1024 * 1024;
/** Size limit for the body of a stored answer. */
export const MAX_STORED_ANSWER_BYTES = 32 * 1024;
/** Memory overhead of an entry, in addition to its body and headers. */
const ENTRY_OVERHEAD_BYTES = 512;
/** 22 characters of base64url hold 132 bits of the digest. */
const FINGERPRINT_CHARACTERS = 22;

/** Identity of a call in the store. */
export interface DeduplicationKey {
  readonly requestId: RequestId;
  /** Wall-clock time of arrival. */
  readonly timeMs: number;
  /** Digest of method, path and body; detects an identifier reused for another request. */
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

/** A reserved request identifier. The first arrival settles it exactly once. */
export interface Reservation {
  readonly outcome: Promise<StoredOutcome>;
  /**
   * Number of duplicates that wait for the outcome. The call is cancelled when neither they nor the
   * first arrival wait any longer.
   */
  waiters: number;
  /** Called when a duplicate stops waiting. */
  onWaiterRemoved: () => void;
  settle(outcome: StoredOutcome): void;
}

/** Result of a lookup. */
export type LookupResult =
  | { readonly kind: 'new' }
  | { readonly kind: 'running'; readonly reservation: Reservation }
  | { readonly kind: 'done'; readonly outcome: StoredOutcome }
  | { readonly kind: 'otherRequest' };

/** Store of the requests that this process has dispatched. */
export interface DeduplicationStore {
  find(key: DeduplicationKey): LookupResult;
  /** Reserves a new request before dispatch; undefined when the store is full. */
  add(key: DeduplicationKey): Reservation | undefined;
  count(): number;
}

/** Limits of a deduplication store. */
export interface DeduplicationStoreOptions {
  /** Maximum number of stored requests; further requests are refused. */
  readonly maxKeys: number;
  /** Time after which a request is removed, in milliseconds. */
  readonly retentionMs: number;
  readonly maxStoredBytes?: number;
}

interface Entry {
  readonly fingerprint: string;
  reservation: Reservation | undefined;
}

/** Derives the key of a call; undefined for repeatable calls, which need no deduplication. */
export function deriveDeduplicationKey(call: Call): DeduplicationKey | undefined {
  if (call.route.config.repeatability === 'repeatable') return undefined;
  const hash = createHash('sha256').update(`${call.method} ${call.path}\n`).update(call.body);
  const fingerprint = hash.digest('base64url').slice(0, FINGERPRINT_CHARACTERS);
  return { requestId: call.requestId, timeMs: Date.now(), fingerprint };
}

function countBytes(outcome: StoredOutcome): number {
  if (outcome.kind !== 'answer') return ENTRY_OVERHEAD_BYTES;
  return ENTRY_OVERHEAD_BYTES + outcome.body.length + JSON.stringify(outcome.headers).length;
}

function createReservation(onSettle: (outcome: StoredOutcome) => void): Reservation {
  let resolveOutcome: (outcome: StoredOutcome) => void;
  const outcome = new Promise<StoredOutcome>((resolve) => {
    resolveOutcome = resolve;
  });
  return {
    outcome,
    waiters: 0,
    onWaiterRemoved: () => {},
    settle(settled) {
      onSettle(settled);
      resolveOutcome(settled);
    },
  };
}

/** Creates an empty store. */
export function createDeduplicationStore(options: DeduplicationStoreOptions): DeduplicationStore {
  const { maxKeys, retentionMs } = options;
  const entries = new Map<RequestId, Entry>();
  const buckets = new Map<number, Set<RequestId>>();
  const answers = new LRUCache<RequestId, StoredOutcome>({
    max: maxKeys,
    maxSize: options.maxStoredBytes ?? MAX_STORED_BYTES,
    sizeCalculation: countBytes,
    ttl: retentionMs,
  });
  const removeExpired = () => {
    const oldestBucketMs = Math.floor((Date.now() - retentionMs) / BUCKET_MS) * BUCKET_MS;
    for (const [bucketMs, requestIds] of buckets) {
      if (bucketMs >= oldestBucketMs) continue;
      for (const requestId of requestIds) {
        entries.delete(requestId);
        answers.delete(requestId);
      }
      buckets.delete(bucketMs);
    }
  };

  const getOrAddBucket = (timeMs: number): Set<RequestId> => {
    const bucketMs = Math.floor(timeMs / BUCKET_MS) * BUCKET_MS;
    let bucket = buckets.get(bucketMs);
    if (!bucket) {
      bucket = new Set();
      buckets.set(bucketMs, bucket);
    }
    return bucket;
  };

  const findEntry = (key: DeduplicationKey, entry: Entry): LookupResult => {
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
      const bucket = getOrAddBucket(key.timeMs);
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
