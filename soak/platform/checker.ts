/** Checks of the soak on the platform's protocol: what callers and instances have seen. */
import type { FleetResponse } from '../../standins/mesh/meshFleet.js';
import { ViolationCounts } from '../violations.js';

/** Kinds of violations; each must be zero. */
export const VIOLATIONS = [
  'unsafe request ran twice',
  'request refused that ran',
  "success without the instance's whole response",
  'request unknown to its caller ran',
  'request cut by a planned stop',
  'version went back in a process',
  'version late on a calm host',
  'run at an instance that has left',
  'planned stop beyond its limit',
  'host does not serve at the end',
] as const;

/** Name of a kind of violation. */
export type Violation = (typeof VIOLATIONS)[number];

/** Time after which a node has surely read a request, in milliseconds. */
const READ_MS = 200;

/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** One request as a caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly isSafe: boolean;
  readonly host: string;
}

/** A request without a response, beside a planned stop. */
interface BrokenRequest {
  readonly id: string;
  readonly host: string;
  readonly reason: string;
  readonly tookMs: number;
}

/** Counts violations and keeps examples of each. */
export class PlatformChecker extends ViolationCounts<Violation> {
  readonly results = new Map<string, number>();

  private readonly sent = new Map<string, SentRequest>();

  private readonly promised = new Set<string>();

  private readonly broken: BrokenRequest[] = [];

  private readonly runs = new Map<string, number>();

  /** Records a request before it is sent. */
  recordSent(request: SentRequest): void {
    this.sent.set(request.id, request);
  }

  /**
   * Records the response, or the reason why there is none. `isPlanned` tells that a planned stop
   * was the only fault from well before the request to its end.
   */
  recordResponse(
    { id, host }: SentRequest,
    response: FleetResponse | string,
    tookMs: number,
    isPlanned: boolean,
  ): void {
    const kind = typeof response === 'string' ? 'broken' : String(response.status);
    this.results.set(kind, (this.results.get(kind) ?? 0) + 1);
    if (typeof response === 'string') {
      const wasSent = response !== 'ECONNREFUSED';
      if (isPlanned && wasSent) this.broken.push({ id, host, reason: response, tookMs });
      return;
    }
    const { status, headers, body } = response;
    if (PROMISES.has(status)) this.promised.add(id);
    if (status >= 300) return;
    const signature = String(headers['x-lycheelane-response-signature']);
    const signer = /^signed-(.+)$/.exec(signature)?.[1];
    if (signer === undefined || body !== `${signer} ran ${id}`) {
      this.add("success without the instance's whole response", `${id}: ${signature} ${body}`);
    }
  }

  /** Records a run, as the instance reports it. */
  recordRun(id: string): void {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
  }

  /** Compares runs and responses, after the last request. */
  finish(): void {
    // A request that crosses the close of an idle connection is neither read nor passed on.
    for (const { id, host, reason, tookMs } of this.broken) {
      if (tookMs <= READ_MS && !this.runs.has(id)) continue;
      const example = `${id} at ${host}: ${reason} after ${Math.round(tookMs)} ms`;
      this.add('request cut by a planned stop', example);
    }
    for (const [id, count] of this.runs) {
      const request = this.sent.get(id);
      if (!request) {
        this.add('request unknown to its caller ran', id);
        continue;
      }
      if (request.isSafe) continue;
      if (count > 1) this.add('unsafe request ran twice', `${id} ran ${count} times`);
      if (this.promised.has(id)) this.add('request refused that ran', id);
    }
  }

  countRuns(): number {
    return [...this.runs.values()].reduce((sum, count) => sum + count, 0);
  }
}
