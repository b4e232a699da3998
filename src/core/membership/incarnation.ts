/** Incarnations: one run of one node process. */
import { randomBytes } from 'node:crypto';

/** Creates the incarnation of a process that starts now: start time, hyphen, random text. */
export function createIncarnation(startMs: number = Date.now()): string {
  return `${startMs}-${randomBytes(5).toString('hex')}`;
}

/** Orders incarnations by start time, then by their random text. */
export function compareIncarnations(a: string, b: string): number {
  if (a === b) return 0;
  const [startA = 0, startB = 0] = [a, b].map((text) => Number(text.slice(0, text.indexOf('-'))));
  if (startA !== startB) return startA - startB;
  return a < b ? -1 : 1;
}
