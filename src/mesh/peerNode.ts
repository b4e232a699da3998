/** State of a node as observed by this node: its record, its load, and whether it responds. */
import type { InstanceId } from '../types/ids.js';
import type { InstanceLoad, MeshRoute, NodeRecord } from './model.js';
import type { PeerCalls } from './peerCalls.js';
import { projectLimitState } from './requestLimit.js';

/** Backoff after the first request without a response; it doubles with each further one. */
const INITIAL_BACKOFF_MS = 400;

/** Maximum backoff before an unresponsive node is tried again. */
const MAX_BACKOFF_MS = 3000;

/** Time after a refusal for which a leaving or starting instance is avoided. */
const UNAVAILABLE_MS = 300;

/** Bounds of the time for which an instance counts as overloaded after it refused a request. */
const OVERLOADED_MS = { min: 20, max: 150 };

/** Age after which a load report counts as outdated. */
const MAX_LOAD_AGE_MS = 3000;

/** What of a route decides whether an instance has room for its requests. */
export type RoutePriority = Pick<MeshRoute, 'name' | 'priority'>;

interface Overload extends RoutePriority {
  readonly untilMs: number;
}

/** A node of the mesh. */
export class PeerNode {
  private outstanding = 0;

  private outstandingAtLoad = 0;

  private load: InstanceLoad | undefined;

  private loadAtMs = -Infinity;

  private failures = 0;

  private backoffUntilMs = -Infinity;

  private unavailableUntilMs = -Infinity;

  /** Refusals of the instance for lack of room, by route and priority of the refused request. */
  private readonly overloads = new Map<string, Overload>();

  /** Record of the instance that said that it leaves. */
  private leaving: NodeRecord | undefined;

  unlistedAtMs: number | undefined;

  /** Time of the first request without a response since the node last responded. */
  private unresponsiveSinceMs: number | undefined;

  private lastNoResponseMs = -Infinity;

  constructor(
    public record: NodeRecord,
    /** Time at which the record was received. */
    public updatedAtMs: number,
    /** Revision of the record in the store; 0 if it was not read from the store. */
    public revision: number,
    readonly calls: PeerCalls,
  ) {}

  recordSend(): void {
    this.outstanding += 1;
  }

  recordEnd(): void {
    this.outstanding -= 1;
  }

  /** Records that a response said that the instance leaves; it holds until the next instance. */
  recordLeaving(instanceId: InstanceId): void {
    if (this.record.instanceId !== instanceId) return;
    this.leaving = this.record;
  }

  /** True when the instance is ready and no response has said that it leaves. */
  isReady(): boolean {
    const { record, leaving } = this;
    if (record.state !== 'ready') return false;
    return leaving?.instanceId !== record.instanceId || leaving.startedAtMs !== record.startedAtMs;
  }

  /** Returns the open requests to the node, now and when the latest load was received. */
  getOutstanding(): { readonly outstanding: number; readonly outstandingAtLoad: number } {
    const { outstanding, outstandingAtLoad } = this;
    return { outstanding, outstandingAtLoad };
  }

  /** Records a response of the node, with the load that it reported, if any. */
  recordLoad(load: InstanceLoad | undefined, nowMs: number): void {
    this.failures = 0;
    this.unresponsiveSinceMs = undefined;
    this.backoffUntilMs = -Infinity;
    if (!load) return;
    this.load = load;
    this.loadAtMs = nowMs;
    this.outstandingAtLoad = this.outstanding;
  }

  /** Records that the node did not respond to a request. */
  recordNoResponse(nowMs: number): void {
    this.unresponsiveSinceMs ??= nowMs;
    this.lastNoResponseMs = nowMs;
    this.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.failures);
    this.failures += 1;
  }

  /** Records that the instance of the node does not accept requests. */
  recordUnavailable(nowMs: number): void {
    this.unavailableUntilMs = nowMs + UNAVAILABLE_MS;
  }

  /** Records that the instance refused a request as overloaded and asked to wait for `waitMs`. */
  recordOverload({ name, priority }: RoutePriority, waitMs: number, nowMs: number): void {
    const overloadedMs = Math.min(OVERLOADED_MS.max, Math.max(OVERLOADED_MS.min, waitMs));
    this.overloads.set(`${priority} ${name}`, { name, priority, untilMs: nowMs + overloadedMs });
  }

  /**
   * True for a short time after the instance refused a request of the route with at least this
   * priority, or of any route with a higher one. Other routes of the same priority may have room,
   * since their runs may be shorter.
   */
  isOverloaded({ name, priority }: RoutePriority, nowMs: number): boolean {
    for (const [key, overload] of this.overloads) {
      const isSameRoute = overload.name === name && overload.priority === priority;
      if (nowMs >= overload.untilMs) this.overloads.delete(key);
      else if (isSameRoute || overload.priority < priority) return true;
    }
    return false;
  }

  isUnreachable(nowMs: number): boolean {
    return nowMs < this.backoffUntilMs;
  }

  /**
   * True when the node has not responded for `expiryMs` and was asked in the second half of that
   * time, or when its record has been in state `leaving` for `expiryMs`.
   */
  isExpired(expiryMs: number, nowMs: number): boolean {
    if (this.record.state === 'leaving') return nowMs - this.updatedAtMs >= expiryMs;
    if (this.unresponsiveSinceMs === undefined) return false;
    return (
      nowMs - this.unresponsiveSinceMs >= expiryMs && nowMs - this.lastNoResponseMs <= expiryMs / 2
    );
  }

  isUnavailable(nowMs: number): boolean {
    return nowMs < this.unavailableUntilMs;
  }

  /** Returns the limit of the instance in requests per second, as of its latest load report. */
  getLimitPerS(): number | undefined {
    return this.load?.limit?.requestsPerS;
  }

  /** Returns the age of the latest load report, or undefined before the first one. */
  getLoadAgeMs(nowMs: number): number | undefined {
    return this.load && nowMs - this.loadAtMs;
  }

  /** Returns the expected load now; `nodeCount` nodes share the limit of the instance, if any. */
  getLoad(nowMs: number, nodeCount: number): InstanceLoad | undefined {
    const { load } = this;
    if (!load) return undefined;
    const ageMs = nowMs - this.loadAtMs;
    const limit = load.limit && projectLimitState(load.limit, ageMs, 1 / nodeCount);
    if (ageMs < MAX_LOAD_AGE_MS) return limit ? { ...load, limit } : load;
    // The reported queue is outdated; the run time is still the best estimate.
    return { ...load, limit, inFlight: 0, failures: load.failures / 2 };
  }
}
