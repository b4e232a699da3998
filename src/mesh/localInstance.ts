/** State of the local instance of a node, derived from its heartbeats. */
import type { InstanceId } from '../types/ids.js';
import type { Heartbeat } from './model.js';

/**
 * Heartbeats, one after the other, that show that an instance has not left. Those that were sent
 * before it left may arrive later, but not for long.
 */
const VERIFYING_HEARTBEATS = 3;

/** Heartbeats that arrive within this time may have been held up together, and count as one. */
const MIN_HEARTBEAT_GAP_MS = 250;

/**
 * State of the local instance. Only a `ready` instance gets new requests. An `unverified` instance
 * may have left while an earlier process of this node ran. A `departed` instance has deregistered
 * or was replaced at its address.
 */
export type InstanceState =
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unverified'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'ready'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'leaving'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'departed'; readonly instanceId: InstanceId };

/** Outcome of a heartbeat. */
export type HeartbeatOutcome = 'changed' | 'unchanged' | 'stale';

/** A draining or deregistered instance, kept so that late heartbeats do not make it ready again. */
export interface DepartedInstance {
  readonly instanceId: InstanceId;
  readonly startedAtMs: number;
  readonly sequence: number;
}

/** What tells one start of an instance from others. */
export type InstanceIdentity = Pick<Heartbeat, 'instanceId' | 'startedAtMs'>;

export function isSameInstance(
  one: InstanceIdentity,
  other: InstanceIdentity | undefined,
): boolean {
  return one.instanceId === other?.instanceId && one.startedAtMs === other.startedAtMs;
}

/** A state with the latest heartbeat of the instance. */
type StateWithHeartbeat = Extract<InstanceState, { heartbeat: Heartbeat }>;

export function hasHeartbeat(state: InstanceState): state is StateWithHeartbeat {
  return state.kind !== 'unknown' && state.kind !== 'departed';
}

/** Heartbeats of an unverified instance. */
interface HeartbeatSeries extends InstanceIdentity {
  readonly count: number;
  readonly latestAtMs: number;
}

function hasSameIdentityAndSlots(before: Heartbeat, after: Heartbeat): boolean {
  return isSameInstance(before, after) && before.slots === after.slots;
}

/** Tracks the local instance. */
export class LocalInstance {
  private state: InstanceState = { kind: 'unknown' };

  /** Latest heartbeat or deregistration that was applied. */
  private latest: DepartedInstance | undefined;

  private departed: DepartedInstance | undefined;

  /** Heartbeats of the instance that was unverified last. */
  private series: HeartbeatSeries | undefined;

  /** Latest instance that is known not to have left before this process started. */
  private verified: InstanceIdentity | undefined;

  private readonly leavingListeners: ((instanceId: InstanceId) => void)[] = [];

  /**
   * Instances that started before `verifiedFromMs` (Unix milliseconds) have to be verified; none if
   * it is omitted.
   */
  constructor(private verifiedFromMs = -Infinity) {}

  getState(): InstanceState {
    return this.state;
  }

  /** Restores from the store an instance that departed before this process started. */
  restoreDepartedInstance(departed: DepartedInstance): void {
    // A store that came back from a copy may have an older one.
    if (this.departed && this.departed.startedAtMs > departed.startedAtMs) return;
    this.departed = departed;
    const { state } = this;
    if (hasHeartbeat(state) && this.hasDeparted(state.heartbeat)) {
      this.state = { kind: 'leaving', heartbeat: state.heartbeat };
    }
  }

  /** Records that no earlier process of this node has known an instance. */
  recordFirstProcess(): void {
    this.verifiedFromMs = -Infinity;
    const { state } = this;
    if (state.kind === 'unverified') this.recordVerified(state.heartbeat);
  }

  /** Records that an instance has not left. Returns true if it was unverified and is ready now. */
  recordVerified(identity: InstanceIdentity): boolean {
    const { state } = this;
    if (state.kind !== 'unverified' || !isSameInstance(identity, state.heartbeat)) return false;
    this.verified = identity;
    this.state = { kind: 'ready', heartbeat: state.heartbeat };
    return true;
  }

  /**
   * Applies a heartbeat that arrived at `nowMs`, on the `performance.now` scale, unless a newer
   * heartbeat or a newer instance is known.
   */
  applyHeartbeat(heartbeat: Heartbeat, nowMs = performance.now()): HeartbeatOutcome {
    if (this.isStale(heartbeat)) return 'stale';
    const before = this.state;
    const isLeaving = heartbeat.state === 'draining' || this.hasDeparted(heartbeat);
    this.latest = heartbeat;
    const presentKind = this.isVerified(heartbeat, nowMs) ? 'ready' : 'unverified';
    this.state = { kind: isLeaving ? 'leaving' : presentKind, heartbeat };
    if (isLeaving) this.departed = heartbeat;
    const isSame =
      hasHeartbeat(before) &&
      before.kind === this.state.kind &&
      hasSameIdentityAndSlots(before.heartbeat, heartbeat);
    return isSame ? 'unchanged' : 'changed';
  }

  /**
   * Applies the deregistration of an instance, received at `wallMs` (Unix milliseconds). Returns
   * false when a newer instance is known. A `startedAtMs` of 0 means that the start is unknown.
   */
  deregister(instanceId: InstanceId, startedAtMs: number, wallMs: number): boolean {
    const { latest } = this;
    if (latest && latest.instanceId !== instanceId && latest.startedAtMs > startedAtMs) {
      return false;
    }
    if (latest?.instanceId === instanceId && startedAtMs > 0 && startedAtMs < latest.startedAtMs) {
      return false;
    }
    const knownStartMs = latest?.instanceId === instanceId ? latest.startedAtMs : 0;
    const effectiveStartMs = Math.max(startedAtMs, knownStartMs);
    const sequence = Number.MAX_SAFE_INTEGER;
    this.latest = { instanceId, startedAtMs: effectiveStartMs, sequence };
    // If the start is unknown, all starts of this instance up to now count as deregistered.
    this.departed = {
      instanceId,
      startedAtMs: effectiveStartMs === 0 ? wallMs : effectiveStartMs,
      sequence,
    };
    this.state = { kind: 'departed', instanceId };
    return true;
  }

  /** Registers a listener that is called when a response has said that the instance leaves. */
  onLeaving(listener: (instanceId: InstanceId) => void): void {
    this.leavingListeners.push(listener);
  }

  /** Records that a response of the instance says that it leaves. */
  recordLeaving(instanceId: InstanceId): void {
    const { state } = this;
    if (state.kind !== 'ready' || state.heartbeat.instanceId !== instanceId) return;
    this.departed = state.heartbeat;
    this.state = { kind: 'leaving', heartbeat: state.heartbeat };
    for (const listener of this.leavingListeners) listener(instanceId);
  }

  /** Records that another instance responds at the address of `instanceId`. */
  recordMismatch(instanceId: InstanceId): void {
    const { state } = this;
    if (state.kind !== 'ready' || state.heartbeat.instanceId !== instanceId) return;
    this.state = { kind: 'departed', instanceId };
  }

  getDepartedInstance(): DepartedInstance | undefined {
    return this.departed;
  }

  /** Returns true when the instance of a heartbeat is known not to have left. */
  private isVerified(heartbeat: Heartbeat, nowMs: number): boolean {
    const { instanceId, startedAtMs } = heartbeat;
    if (startedAtMs > this.verifiedFromMs) return true;
    if (isSameInstance(heartbeat, this.verified)) return true;
    const before = isSameInstance(heartbeat, this.series) ? this.series : undefined;
    if (before && nowMs - before.latestAtMs < MIN_HEARTBEAT_GAP_MS) return false;
    const count = (before?.count ?? 0) + 1;
    this.series = { instanceId, startedAtMs, count, latestAtMs: nowMs };
    if (count < VERIFYING_HEARTBEATS) return false;
    this.verified = { instanceId, startedAtMs };
    return true;
  }

  private isStale({ instanceId, startedAtMs, sequence }: Heartbeat): boolean {
    const { latest } = this;
    if (!latest) return false;
    if (startedAtMs !== latest.startedAtMs) return startedAtMs < latest.startedAtMs;
    return instanceId === latest.instanceId && sequence <= latest.sequence;
  }

  private hasDeparted({ instanceId, startedAtMs }: Heartbeat): boolean {
    const { departed } = this;
    if (!departed || departed.instanceId !== instanceId) return false;
    return startedAtMs <= departed.startedAtMs;
  }
}
