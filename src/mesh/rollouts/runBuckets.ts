/** Histogram of run times in buckets whose bounds are powers of 2^(1/4) milliseconds. */

const BUCKETS_PER_OCTAVE = 4;

/** Number of buckets; the last one holds all times from 65 s on. */
export const BUCKET_COUNT = 65;

/** Returns the bucket of a run time. */
export function computeBucket(runMs: number): number {
  if (!(runMs > 1)) return 0;
  return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log2(runMs) * BUCKETS_PER_OCTAVE));
}

/** Returns the bucket that holds the given quantile of all runs; undefined without runs. */
export function findQuantileBucket(
  counts: readonly number[],
  quantile: number,
): number | undefined {
  let total = 0;
  for (const count of counts) total += count;
  if (total === 0) return undefined;
  let reached = 0;
  for (const [bucket, count] of counts.entries()) {
    reached += count;
    if (reached >= total * quantile) return bucket;
  }
  return counts.length - 1;
}

/** Returns the number of runs in the buckets above `bucket`. */
export function countAbove(counts: readonly number[], bucket: number): number {
  let above = 0;
  for (let index = bucket + 1; index < counts.length; index += 1) above += counts[index]!;
  return above;
}
