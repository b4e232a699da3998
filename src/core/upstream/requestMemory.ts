/** What this process has dispatched, so that nothing is dispatched a second time. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { LRUCache } from 'lru-cache';
import type { Call } from '../../types/calls.js';
import { parseUuidTime } from '../../utils/uuidTime.js';

/** Expired entries are removed in steps of this size. */
const BUCKET_MS = 10_000;
/** Stored answers of all keys together; a node has 128 MB in all. */
const MAX_STORED_BYTES = 8 * 1024 * 1024;
/** Largest answer that is stored. */
export const MAX_STORED_ANSWER_BYTES = 32 * 1024;
/** Overhead of an entry beside its body and headers. */
const ENTRY_BYTES = 512;

/** Identity of a call in the memory. */
export interface MemoryKey {
  readonly text: string;
  /** Time in the key; the time of arrival when it has none; undefined if it never expires. */
  readonly timeMs: number | undefined;
  /** True when the caller can send the key again at any time. */
  readonly isRepeatable: boolean;
  /** Digest of method, path and body: a key stands for one request. */
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

/** A reserved key. The first arrival settles it once. */
export interface Reservation {
  readonly outcome: Promise<StoredOutcome>;
  /** Arrivals that wait for the outcome; the call is cancelled when none is left. */
  waiters: number;
  /** Called when an arrival stops waiting. */
  onWaiterLeft: () => void;
  settle(outcome: StoredOutcome): void;
}

/** What the memory knows of a key. */
export type Remembered =
  | { readonly kind: 'new' }
  | { readonly kind: 'running'; readonly reservation: Reservation }
  | { readonly kind: 'done'; readonly outcome: StoredOutcome }
  | { readonly kind: 'otherRequest' }
  | { readonly kind: 'expired' };

/** Memory of the keys and request ids that this process dispatched. */
export interface RequestMemory {
  find(key: MemoryKey): Remembered;
  /** Reserves a new key before dispatch; undefined when the memory is full. */
  add(key: MemoryKey): Reservation | undefined;
  count(): number;
}

/** Bounds of a request memory. */
export interface RequestMemoryOptions {
  /** Most keys kept; new ones are refused beyond that. */
  readonly maxKeys: number;
  /** Age up to which a key is accepted, in milliseconds. */
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
  const { key } = call;
  switch (key.kind) {
    case 'none':
      return {
        text: `request:${call.requestId}`,
        timeMs: Date.now(),
        isRepeatable: false,
        fingerprint,
      };
    case 'token': {
      const timeMs = parseUuidTime(key.nonce);
      return { text: `token:${key.nonce}`, timeMs, isRepeatable: true, fingerprint };
    }
    case 'uuid': {
      const text = `uuid:${call.route.service.name}:${key.text.toLowerCase()}`;
      return { text, timeMs: key.issuedAtMs, isRepeatable: true, fingerprint };
    }
    default:
      return key satisfies never;
  }
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
  const entries = new Map<string, Entry>();
  const buckets = new Map<number, Set<string>>();
  const answers = new LRUCache<string, StoredOutcome>({
    max: maxKeys,
    maxSize: options.maxStoredBytes ?? MAX_STORED_BYTES,
    sizeCalculation: countBytes,
    ttl: rememberMs,
  });
  // Keys older than this are refused. It never falls, so a key whose entry was removed cannot
  // be accepted again, even after the wall clock was set back.
  let acceptFromMs = 0;

  const removeExpired = () => {
    const floorMs = Math.floor((Date.now() - rememberMs) / BUCKET_MS) * BUCKET_MS;
    if (floorMs <= acceptFromMs) return;
    acceptFromMs = floorMs;
    for (const [bucketMs, texts] of buckets) {
      if (bucketMs >= floorMs) continue;
      for (const text of texts) {
        entries.delete(text);
        answers.delete(text);
      }
      buckets.delete(bucketMs);
    }
  };

  const getBucket = (timeMs: number): Set<string> => {
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
    const outcome = answers.get(key.text);
    if (outcome) return { kind: 'done', outcome };
    const detail = 'the request was handed over before and its answer is not kept';
    return { kind: 'done', outcome: { kind: 'handedOver', detail } };
  };

  return {
    find(key) {
      removeExpired();
      const entry = entries.get(key.text);
      if (entry) return findEntry(key, entry);
      const isExpired = key.isRepeatable && key.timeMs !== undefined && key.timeMs < acceptFromMs;
      return { kind: isExpired ? 'expired' : 'new' };
    },
    add(key) {
      if (entries.size >= maxKeys) return undefined;
      const entry: Entry = { fingerprint: key.fingerprint, reservation: undefined };
      const bucket = key.timeMs === undefined ? undefined : getBucket(key.timeMs);
      entries.set(key.text, entry);
      bucket?.add(key.text);
      entry.reservation = createReservation((outcome) => {
        entry.reservation = undefined;
        if (entries.get(key.text) !== entry) return;
        if (outcome.kind === 'notRun') {
          entries.delete(key.text);
          bucket?.delete(key.text);
        } else if (outcome.kind === 'answer') {
          answers.set(key.text, outcome);
        }
      });
      return entry.reservation;
    },
    count: () => entries.size,
  };
}
