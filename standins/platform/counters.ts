/** Call counters of the platform stand-in. */

/** Kinds of calls that the platform counts; a watch counts once, however long it waits. */
export type CallKind = 'read' | 'list' | 'create' | 'update' | 'remove' | 'watch';

/** Counts since the start or the last reset. */
export interface PlatformStats {
  /** Calls that the platform took up, also those that it answered with an error. */
  readonly total: number;
  readonly byKind: Readonly<Record<CallKind, number>>;
  /** Calls by kind of object, such as `config` or `bundles`. */
  readonly byObjectKind: Readonly<Record<string, number>>;
  /** Answers by status code. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Calls turned away while the platform was down. */
  readonly refused: number;
  /** Writes that took effect and whose answer was lost on purpose. */
  readonly lostAnswers: number;
  readonly waitingWatches: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
  /** Calls in each of the last 300 seconds that had any, oldest first. */
  readonly perSecond: readonly { readonly second: number; readonly calls: number }[];
}

const SECONDS_KEPT = 300;

function createKinds(): Record<CallKind, number> {
  return { read: 0, list: 0, create: 0, update: 0, remove: 0, watch: 0 };
}

/** Counts calls. */
export class PlatformCounters {
  #byKind = createKinds();

  #byObjectKind: Record<string, number> = {};

  #byStatus: Record<string, number> = {};

  #perSecond: { second: number; calls: number }[] = [];

  refused = 0;

  lostAnswers = 0;

  waitingWatches = 0;

  bytesIn = 0;

  bytesOut = 0;

  recordCall(kind: CallKind, objectKind: string): void {
    this.#byKind[kind] += 1;
    this.#byObjectKind[objectKind] = (this.#byObjectKind[objectKind] ?? 0) + 1;
    const second = Math.floor(Date.now() / 1000);
    const last = this.#perSecond.at(-1);
    if (last?.second === second) last.calls += 1;
    else this.#perSecond.push({ second, calls: 1 });
    if (this.#perSecond.length > SECONDS_KEPT) this.#perSecond.shift();
  }

  recordStatus(status: number): void {
    this.#byStatus[status] = (this.#byStatus[status] ?? 0) + 1;
  }

  getStats(): PlatformStats {
    return {
      total: Object.values(this.#byKind).reduce((sum, calls) => sum + calls, 0),
      byKind: { ...this.#byKind },
      byObjectKind: { ...this.#byObjectKind },
      byStatus: { ...this.#byStatus },
      refused: this.refused,
      lostAnswers: this.lostAnswers,
      waitingWatches: this.waitingWatches,
      bytesIn: this.bytesIn,
      bytesOut: this.bytesOut,
      perSecond: this.#perSecond.map((entry) => ({ ...entry })),
    };
  }

  /** Sets all counts to zero except the watches that are waiting now. */
  reset(): void {
    this.#byKind = createKinds();
    this.#byObjectKind = {};
    this.#byStatus = {};
    this.#perSecond = [];
    this.refused = 0;
    this.lostAnswers = 0;
    this.bytesIn = 0;
    this.bytesOut = 0;
  }
}
