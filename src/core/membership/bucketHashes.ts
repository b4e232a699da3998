/** Hashes of the member table, grouped into buckets of members. */
import { createHash } from 'node:crypto';
import type { MemberChange } from '../../generated/types.js';
import { isPresent } from './merge.js';

/** Maximum number of buckets. For smaller counts, buckets are merged. */
export const MAX_BUCKETS = 256;
/** Smaller tables are compared row by row, since hashes would need an additional request. */
const MIN_HASHED_ROWS = 16;
/** Size of a summary row relative to that of a bucket hash, both in JSON. */
const ROW_TO_HASH_SIZE_RATIO = 6;
/** Hexadecimal digits of the table hash and of a bucket hash. */
const TABLE_DIGITS = 16;
const BUCKET_DIGITS = 8;

/** Incrementally updated hashes of a member table. */
export interface BucketHashes {
  /** Adds a row. Tombstones are ignored. */
  add(change: MemberChange): void;
  /** Removes a row that was added before. */
  remove(change: MemberChange): void;
  /** Returns the hash of the whole table. */
  computeTotal(): string;
  /** Lists the hashes of `count` buckets. */
  list(count: number): string[];
}

function hashText(text: string): bigint {
  return createHash('sha1').update(text).digest().readBigUInt64BE();
}

function formatHash(hash: bigint): string {
  return hash.toString(16).padStart(TABLE_DIGITS, '0');
}

/** Returns the bucket of a member; `count` is a power of two up to `MAX_BUCKETS`. */
export function locateBucket(nodeId: string, count: number): number {
  return Number(hashText(nodeId) % BigInt(MAX_BUCKETS)) % count;
}

/**
 * Returns the number of buckets for a table, or 0 if it is compared row by row. For a single
 * differing row, the total size of all bucket hashes and the rows of one bucket is smallest at the
 * square root of the row count times the size ratio; the result is the nearest power of two.
 */
export function computeBucketCount(rows: number): number {
  if (rows < MIN_HASHED_ROWS) return 0;
  const exponent = Math.round(Math.log2(Math.sqrt(ROW_TO_HASH_SIZE_RATIO * rows)));
  return Math.min(MAX_BUCKETS, 2 ** exponent);
}

/**
 * Creates the hashes of an empty table. The hash of a bucket is the sum of its row hashes modulo
 * 2^64, so an update hashes one row instead of the whole table.
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

  /** Merges the buckets into `count` larger ones; sums wrap at 2^64. */
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
