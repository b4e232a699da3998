/** Counts the runs of each call in memory and in a file, which survives a killed process. */
/* eslint-disable n/no-sync -- a run must be in the file before its execution starts. */
import { closeSync, openSync, readFileSync, writeSync } from 'node:fs';
import { LRUCache } from 'lru-cache';

/** One run; each line of the file is one record as JSON. */
export interface RunRecord {
  readonly callId: string;
  readonly key: string;
  readonly requestId: string;
  readonly instanceId: string;
  readonly atMs: number;
}

/** Maximum number of counts in memory; the file contains all runs. */
const MAX_CACHED_COUNTS = 200_000;

/** Run counts of one upstream process. */
export class RunLedger {
  readonly #calls = new LRUCache<string, number>({ max: MAX_CACHED_COUNTS });

  readonly #keys = new LRUCache<string, number>({ max: MAX_CACHED_COUNTS });

  #file: number | undefined;

  total = 0;

  constructor(path: string | undefined) {
    this.#file = path === undefined ? undefined : openSync(path, 'a');
  }

  /** Records a run before its execution starts; returns the number of runs of its call id. */
  recordRun(run: RunRecord): number {
    this.total += 1;
    const count = (this.#calls.get(run.callId) ?? 0) + 1;
    this.#calls.set(run.callId, count);
    if (run.key !== '') this.#keys.set(run.key, (this.#keys.get(run.key) ?? 0) + 1);
    // Synchronous, so that a kill after this line does not lose the run.
    if (this.#file !== undefined) writeSync(this.#file, `${JSON.stringify(run)}\n`);
    return count;
  }

  getCalls(): Record<string, number> {
    return Object.fromEntries(this.#calls.entries());
  }

  getKeys(): Record<string, number> {
    return Object.fromEntries(this.#keys.entries());
  }

  close(): void {
    if (this.#file !== undefined) closeSync(this.#file);
    this.#file = undefined;
  }
}

/** Reads the runs from a file and ignores an incomplete last line. */
export function loadRuns(path: string): RunRecord[] {
  const lines = readFileSync(path, 'utf8').split('\n').slice(0, -1);
  return lines.map((line) => JSON.parse(line) as RunRecord);
}
