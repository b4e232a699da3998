/** Hashes of the member table by buckets of members. */
import { createHash } from 'node:crypto';
import type { MemberChange } from '../../generated/types.js';
import { isPresent } from './merge.js';

/** Largest number of buckets; smaller numbers join buckets of this division. */
export const MAX_BUCKETS = 256;
/** Tables with fewer rows are compared by rows at once: hashes would cost a further exchange. */
const MIN_ROWS = 16;
/** Bytes of a row of a summary divided by those of a hash, both with their JSON. */
const ROW_PER_HASH_BYTES = 6;
/** Hexadecimal digits of the hash of a table and of a bucket. */
const TABLE_DIGITS = 16;
const BUCKET_DIGITS = 8;

/** The hashes, changed row by row. */
export interface BucketHashes {
  /** Adds a row; tombstones are left out. */
  add(change: MemberChange): void;
  /** Removes a row that was added. */
  remove(change: MemberChange): void;
  computeTotal(): string;
  list(count: number): string[];
}

function hashText(text: string): bigint {
  return createHash('sha1').update(text).digest().readBigUInt64BE();
}

function formatHash(hash: bigint): string {
  return hash.toString(16).padStart(TABLE_DIGITS, '0');
}

/** Returns the bucket of a member when there are `count` buckets, up to 256. */
export function locateBucket(nodeId: string, count: number): number {
  return Number(hashText(nodeId) % BigInt(MAX_BUCKETS)) % count;
}

/**
 * Returns the number of buckets for a table, 0 when rows are compared at once. With one
 * difference, hashes of all buckets and rows of one together are shortest at the square root of
 * the rows times the ratio of their sizes.
 */
export function computeBucketCount(rows: number): number {
  if (rows < MIN_ROWS) return 0;
  const exponent = Math.round(Math.log2(Math.sqrt(ROW_PER_HASH_BYTES * rows)));
  return Math.min(MAX_BUCKETS, 2 ** exponent);
}

/**
 * Creates the hashes of an empty table. The hash of a bucket is the sum of those of its rows modulo
 * 2^64, so that a change costs the hashing of one row and not of the whole table.
 */
export function createBucketHashes(): BucketHashes {
  let total: string | undefined;
  const sums = new BigUint64Array(MAX_BUCKETS);

  const update = (change: MemberChange, sign: bigint) => {
    if (!isPresent(change)) return;
    const { nodeId, incarnation, sequence } = change.record;
    const row = hashText(`${nodeId} ${incarnation} ${sequence} ${change.verdict}`);
    const bucket = locateBucket(nodeId, MAX_BUCKETS);
    sums[bucket] = (sums[bucket] as bigint) + sign * row;
  };

  /** Joins the buckets to `count` larger ones; sums wrap at 2^64. */
  const mergeBuckets = (count: number): string[] => {
    const merged = new BigUint64Array(count);
    sums.forEach((sum, bucket) => {
      merged[bucket % count] = (merged[bucket % count] as bigint) + sum;
    });
    return [...merged].map(formatHash);
  };

  return {
    add: (change) => {
      update(change, 1n);
      total = undefined;
    },
    remove: (change) => {
      update(change, -1n);
      total = undefined;
    },
    computeTotal: () => {
      total ??= mergeBuckets(1)[0] as string;
      return total;
    },
    list: (count) => mergeBuckets(count).map((hash) => hash.slice(0, BUCKET_DIGITS)),
  };
}
