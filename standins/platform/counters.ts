/** Request counters of the platform stand-in. */

/** Request kinds that are counted; a watch counts once, however long it waits. */
export type CallKind = 'read' | 'list' | 'create' | 'update' | 'remove' | 'watch';

/** Counters since the start or the last reset. */
export interface PlatformStats {
  /** Requests that were handled, including those that ended with an error status. */
  readonly total: number;
  readonly byKind: Readonly<Record<CallKind, number>>;
  /** Requests by kind of object, such as `config` or `bundles`. */
  readonly byObjectKind: Readonly<Record<string, number>>;
  /** Responses by status code. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Requests whose connection was closed while the fault `down` was on. */
  readonly refused: number;
  /** Writes that took effect and whose response was dropped by the fault `loseWriteAnswers`. */
  readonly lostAnswers: number;
  readonly waitingWatches: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
  /** Requests in each of the last 300 seconds with at least one request, oldest first. */
  readonly perSecond: readonly { readonly second: number; readonly calls: number }[];
}

const RATE_HISTORY_SECONDS = 300;
const MS_PER_SECOND = 1000;

function createKinds(): Record<CallKind, number> {
  return { read: 0, list: 0, create: 0, update: 0, remove: 0, watch: 0 };
}

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
    const second = Math.floor(Date.now() / MS_PER_SECOND);
    const last = this.#perSecond.at(-1);
    if (last?.second === second) last.calls += 1;
    else this.#perSecond.push({ second, calls: 1 });
    if (this.#perSecond.length > RATE_HISTORY_SECONDS) this.#perSecond.shift();
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

  /** Sets all counters to zero except the gauge `waitingWatches`. */
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
