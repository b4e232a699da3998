/** Incarnations; each identifies one run of a node process. */
import { randomBytes } from 'node:crypto';

/** Length of the random part, in bytes. */
const RANDOM_BYTES = 5;

/** Creates an incarnation of the form `<start time>-<random hexadecimal digits>`. */
export function createIncarnation(startMs: number = Date.now()): string {
  return `${startMs}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}

/** Returns the start time of an incarnation in Unix milliseconds. */
export function getStartMs(incarnation: string): number {
  return Number(incarnation.slice(0, incarnation.indexOf('-')));
}

/** Compares incarnations by start time, then by their random part. */
export function compareIncarnations(a: string, b: string): number {
  if (a === b) return 0;
  const difference = getStartMs(a) - getStartMs(b);
  if (difference !== 0) return difference;
  return a < b ? -1 : 1;
}
