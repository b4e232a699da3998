/** Logs the limit that the local instance names, with the requests that it gets against it. */
import type { EventLog } from './eventLog.js';
import type { NamedLimit } from './instanceNotice.js';

/** Time over which requests are counted. */
const WINDOW_MS = 4000;

/** Minimum time between two lines about the same limit. */
const LOG_INTERVAL_MS = 1000;

interface Start {
  readonly atMs: number;
  readonly origin: string;
}

export class LimitMonitor {
  private starts: Start[] = [];

  private requestsPerS: number | undefined;

  private loggedAtMs = -Infinity;

  private invalidLoggedAtMs = -Infinity;

  constructor(private readonly log: EventLog) {}

  /** Records a request that is sent to the instance; `origin` is the process that it came from. */
  recordStart(origin: string, nowMs: number): void {
    this.starts.push({ atMs: nowMs, origin });
    this.evictStarts(nowMs);
  }

  /** Records the limit that a response states. */
  recordLimit(limit: NamedLimit, nowMs: number): void {
    switch (limit.kind) {
      case 'none':
        if (this.requestsPerS !== undefined) this.writeLine('instance-limit-ended', nowMs);
        this.requestsPerS = undefined;
        this.loggedAtMs = -Infinity;
        break;
      case 'named':
        this.requestsPerS = limit.requestsPerS;
        if (nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) this.writeLine('instance-limit', nowMs);
        break;
      case 'invalid':
        if (nowMs - this.invalidLoggedAtMs >= LOG_INTERVAL_MS) this.writeInvalid(limit.text, nowMs);
        break;
      default:
        throw new Error(`unknown limit ${JSON.stringify(limit satisfies never)}`);
    }
  }

  private writeInvalid(text: string, nowMs: number): void {
    this.invalidLoggedAtMs = nowMs;
    this.log.write('warn', 'instance-limit-invalid', {
      step: 'instance.readNotice',
      peer: 'instance',
      text: text.slice(0, 40),
    });
  }

  private writeLine(event: string, nowMs: number): void {
    this.loggedAtMs = nowMs;
    this.evictStarts(nowMs);
    const { requestsPerS, starts } = this;
    this.log.write('info', event, {
      requestsPerS,
      windowMs: WINDOW_MS,
      starts: starts.length,
      origins: new Set(starts.map(({ origin }) => origin)).size,
    });
  }

  private evictStarts(nowMs: number): void {
    const kept = this.starts.findIndex(({ atMs }) => nowMs - atMs < WINDOW_MS);
    if (kept < 0) this.starts = [];
    else if (kept > 0) this.starts.splice(0, kept);
  }
}
