/** Invariant checks of the soak on the platform's protocol: requests, responses and runs. */
import type { FleetResponse } from '../../standins/mesh/meshFleet.js';
import { ViolationCounts } from '../violations.js';

/** Kinds of violations; the soak passes if the count of each is zero. */
export const VIOLATIONS = [
  'unsafe request ran twice',
  'request refused that ran',
  "success without the instance's whole response",
  'request unknown to its caller ran',
  'request cut by a planned stop',
  'version went back in a process',
  'version late on a calm host',
  'run at an instance that has left',
  'request to an instance that says that it leaves',
  'request run after its caller had left',
  'instance over its limit',
  'planned stop beyond its limit',
  'host does not serve at the end',
] as const;

export type Violation = (typeof VIOLATIONS)[number];

/** Maximum time until a node has read a request. */
const MAX_READ_DELAY_MS = 200;

/** Time after which a request whose caller has left must not reach an instance. */
const DEPARTURE_LIMIT_MS = 500;

/** Statuses that guarantee that a request has not run and will not run. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Time after which a host that passed on that an instance leaves sends it nothing more. */
const LEAVING_LIMIT_MS = 2000;

/** Window of the limit of an instance. */
const LIMIT_WINDOW_MS = 4000;

/** Share of its limit, and number of requests in addition, that an instance gets in a window. */
const LIMIT_TOLERANCE = { share: 1.5, requests: 5 };

/** One request that a caller sent. */
export interface SentRequest {
  readonly id: string;
  readonly isSafe: boolean;
  readonly host: string;
}

/** A request that got no response while planned stops were the only faults. */
interface FailedRequest {
  readonly id: string;
  readonly host: string;
  readonly reason: string;
  readonly durationMs: number;
}

/** Records requests, responses and runs, and counts violations. */
export class PlatformChecker extends ViolationCounts<Violation> {
  readonly results = new Map<string, number>();

  private readonly sentRequests = new Map<string, SentRequest>();

  private readonly refusedIds = new Set<string>();

  private readonly failedRequests: FailedRequest[] = [];

  private readonly runCounts = new Map<string, number>();

  /** Time at which callers left without waiting for their responses, by request. */
  private readonly departedAtMs = new Map<string, number>();

  /** Time at which a host passed on that an instance leaves, by host and instance. */
  private readonly leavingPassedAtMs = new Map<string, Map<string, number>>();

  /** Records a request before it is sent. */
  recordSent(request: SentRequest): void {
    this.sentRequests.set(request.id, request);
  }

  /**
   * Records the response, or the error code if there is none. `isPlannedStopOnly` is true if
   * planned stops were the only faults from well before the request until its end.
   */
  recordResponse(
    { id, host }: SentRequest,
    response: FleetResponse | string,
    durationMs: number,
    isPlannedStopOnly: boolean,
    nowMs = performance.now(),
  ): void {
    const kind = typeof response === 'string' ? 'broken' : String(response.status);
    this.results.set(kind, (this.results.get(kind) ?? 0) + 1);
    if (typeof response === 'string') {
      const wasSent = response !== 'ECONNREFUSED';
      if (isPlannedStopOnly && wasSent) {
        this.failedRequests.push({ id, host, reason: response, durationMs });
      }
      return;
    }
    const { status, headers, body } = response;
    if (NOT_EXECUTED_STATUSES.has(status)) this.refusedIds.add(id);
    if (status >= 300) return;
    const signature = String(headers['x-lycheelane-response-signature']);
    const signer = /^signed-(.+)$/.exec(signature)?.[1];
    if (signer === undefined || body !== `${signer} ran ${id}`) {
      this.add("success without the instance's whole response", `${id}: ${signature} ${body}`);
      return;
    }
    const passedAtMs = this.leavingPassedAtMs.get(host)?.get(signer) ?? Infinity;
    if (nowMs - durationMs > passedAtMs + LEAVING_LIMIT_MS) {
      this.add('request to an instance that says that it leaves', `${id} at ${host}: ${signer}`);
    }
    if (headers['server-leaving'] === '1') this.recordLeaving(host, signer, nowMs);
  }

  /** Records that a node was restarted or frozen, which excuses what it no longer knows. */
  recordInterruption(host: string): void {
    this.leavingPassedAtMs.delete(host);
  }

  /** Checks the arrivals at an instance that named a limit all the while, in milliseconds. */
  checkLimit(instanceId: string, limitPerS: number, arrivalsAtMs: readonly number[]): void {
    const { share, requests } = LIMIT_TOLERANCE;
    const allowed = (share * limitPerS * LIMIT_WINDOW_MS) / 1000 + requests;
    for (const fromMs of arrivalsAtMs) {
      const inWindow = arrivalsAtMs.filter(
        (atMs) => atMs >= fromMs && atMs < fromMs + LIMIT_WINDOW_MS,
      );
      if (inWindow.length <= allowed) continue;
      this.add('instance over its limit', `${instanceId}: ${inWindow.length} of ${allowed}`);
      return;
    }
  }

  /** Records that the caller of a request has closed its connection. */
  recordDeparture({ id }: SentRequest, nowMs = performance.now()): void {
    this.departedAtMs.set(id, nowMs);
  }

  /** Records a run that an instance reported. */
  recordRun(id: string, atMs = performance.now()): void {
    this.runCounts.set(id, (this.runCounts.get(id) ?? 0) + 1);
    const lateMs = atMs - (this.departedAtMs.get(id) ?? Infinity);
    if (lateMs <= DEPARTURE_LIMIT_MS) return;
    this.add('request run after its caller had left', `${id}: ${Math.round(lateMs)} ms`);
  }

  private recordLeaving(host: string, instanceId: string, nowMs: number): void {
    const passed = this.leavingPassedAtMs.get(host) ?? new Map<string, number>();
    if (!passed.has(instanceId)) passed.set(instanceId, nowMs);
    this.leavingPassedAtMs.set(host, passed);
  }

  /** Compares runs with responses; called after the last request has ended. */
  finish(): void {
    // A request sent while the node closes the idle connection is neither read nor forwarded.
    for (const { id, host, reason, durationMs } of this.failedRequests) {
      if (durationMs <= MAX_READ_DELAY_MS && !this.runCounts.has(id)) continue;
      const example = `${id} at ${host}: ${reason} after ${Math.round(durationMs)} ms`;
      this.add('request cut by a planned stop', example);
    }
    for (const [id, count] of this.runCounts) {
      const request = this.sentRequests.get(id);
      if (!request) {
        this.add('request unknown to its caller ran', id);
        continue;
      }
      if (request.isSafe) continue;
      if (count > 1) this.add('unsafe request ran twice', `${id} ran ${count} times`);
      if (this.refusedIds.has(id)) this.add('request refused that ran', id);
    }
  }

  countRuns(): number {
    return [...this.runCounts.values()].reduce((sum, count) => sum + count, 0);
  }
}
