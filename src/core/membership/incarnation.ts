/** Incarnations: one run of one node process. */
import { randomBytes } from 'node:crypto';

/** Creates the incarnation of a process that starts now: start time, hyphen, random text. */
export function createIncarnation(startMs: number = Date.now()): string {
  return `${startMs}-${randomBytes(5).toString('hex')}`;
}

/** Returns the start time that an incarnation names, in milliseconds since the epoch. */
export function getStartMs(incarnation: string): number {
  return Number(incarnation.slice(0, incarnation.indexOf('-')));
}

/** Orders incarnations by start time, then by their random text. */
export function compareIncarnations(a: string, b: string): number {
  if (a === b) return 0;
  const difference = getStartMs(a) - getStartMs(b);
  if (difference !== 0) return difference;
  return a < b ? -1 : 1;
}
