/** Counts how often each call ran, in memory and in a file that outlives a killed process. */
/* eslint-disable n/no-sync -- a run must be on file before its work begins. */
import { closeSync, openSync, readFileSync, writeSync } from 'node:fs';
import { LRUCache } from 'lru-cache';

/** One run as the file records it, one JSON line each. */
export interface RunRecord {
  readonly callId: string;
  readonly key: string;
  readonly requestId: string;
  readonly instanceId: string;
  readonly atMs: number;
}

/** Bound of the counts in memory; the file has them all. */
const MAX_COUNTED = 200_000;

/** Run counts of one upstream process. */
export class RunLedger {
  readonly #calls = new LRUCache<string, number>({ max: MAX_COUNTED });

  readonly #keys = new LRUCache<string, number>({ max: MAX_COUNTED });

  #file: number | undefined;

  total = 0;

  constructor(path: string | undefined) {
    this.#file = path === undefined ? undefined : openSync(path, 'a');
  }

  /** Records a run before its work begins and returns the runs of its call id so far. */
  recordRun(run: RunRecord): number {
    this.total += 1;
    const count = (this.#calls.get(run.callId) ?? 0) + 1;
    this.#calls.set(run.callId, count);
    if (run.key !== '') this.#keys.set(run.key, (this.#keys.get(run.key) ?? 0) + 1);
    // Written synchronously: a kill right after this line must not lose the run.
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

/** Reads a file of runs; an unfinished last line is left out. */
export function loadRuns(path: string): RunRecord[] {
  const lines = readFileSync(path, 'utf8').split('\n').slice(0, -1);
  return lines.map((line) => JSON.parse(line) as RunRecord);
}
