/** What a node knows of the instance beside it, from the heartbeats that it gets. */
import type { InstanceId } from '../types/ids.js';
import type { Heartbeat } from './model.js';

/** State of the instance. A leaving instance gets no new request. */
export type InstanceState =
  | { readonly kind: 'unknown' }
  | { readonly kind: 'ready'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'leaving'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'gone'; readonly instanceId: InstanceId };

/** Outcome of a heartbeat. */
export type HeartbeatOutcome = 'changed' | 'unchanged' | 'stale';

/** An instance that has left, remembered so that late heartbeats do not bring it back. */
export interface LeftInstance {
  readonly instanceId: InstanceId;
  readonly startedAtMs: number;
  readonly sequence: number;
}

/** A state that holds the latest heartbeat of the instance. */
type HeardState = Extract<InstanceState, { heartbeat: Heartbeat }>;

/** True for states that hold a heartbeat. */
export function isHeard(state: InstanceState): state is HeardState {
  return state.kind === 'ready' || state.kind === 'leaving';
}

function hasSameTerms(before: Heartbeat, after: Heartbeat): boolean {
  return (
    before.instanceId === after.instanceId &&
    before.startedAtMs === after.startedAtMs &&
    before.slots === after.slots
  );
}

/** Follows the instance beside the node. */
export class LocalInstance {
  private state: InstanceState = { kind: 'unknown' };

  private latest: LeftInstance | undefined;

  private left: LeftInstance | undefined;

  getState(): InstanceState {
    return this.state;
  }

  /** Remembers from the store that an instance left before this process started. */
  restoreLeft(left: LeftInstance): void {
    this.left = left;
    const { state } = this;
    if (state.kind === 'ready' && this.hasLeft(state.heartbeat)) {
      this.state = { kind: 'leaving', heartbeat: state.heartbeat };
    }
  }

  /** Applies a heartbeat, unless a newer one or a newer instance is known. */
  applyHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome {
    if (this.isStale(heartbeat)) return 'stale';
    const before = this.state;
    const isLeaving = heartbeat.state === 'draining' || this.hasLeft(heartbeat);
    this.latest = heartbeat;
    this.state = { kind: isLeaving ? 'leaving' : 'ready', heartbeat };
    if (isLeaving) this.left = heartbeat;
    const isSame =
      isHeard(before) &&
      before.kind === this.state.kind &&
      hasSameTerms(before.heartbeat, heartbeat);
    return isSame ? 'unchanged' : 'changed';
  }

  /**
   * The instance says that it leaves, at the time of day `wallMs`; false when a newer instance is
   * known. A start of 0 is not known.
   */
  deregister(instanceId: InstanceId, startedAtMs: number, wallMs: number): boolean {
    const { latest } = this;
    if (latest && latest.instanceId !== instanceId && latest.startedAtMs > startedAtMs) {
      return false;
    }
    if (latest?.instanceId === instanceId && startedAtMs > 0 && startedAtMs < latest.startedAtMs) {
      return false;
    }
    const knownMs = latest?.instanceId === instanceId ? latest.startedAtMs : 0;
    const toldMs = Math.max(startedAtMs, knownMs);
    const sequence = Number.MAX_SAFE_INTEGER;
    this.latest = { instanceId, startedAtMs: toldMs, sequence };
    // When nothing tells the start, any start up to now is the one that has ended.
    this.left = { instanceId, startedAtMs: toldMs === 0 ? wallMs : toldMs, sequence };
    this.state = { kind: 'gone', instanceId };
    return true;
  }

  /** The address is served by another instance. */
  recordMismatch(instanceId: InstanceId): void {
    const { state } = this;
    if (state.kind !== 'ready' || state.heartbeat.instanceId !== instanceId) return;
    this.state = { kind: 'gone', instanceId };
  }

  getLeft(): LeftInstance | undefined {
    return this.left;
  }

  private isStale({ instanceId, startedAtMs, sequence }: Heartbeat): boolean {
    const { latest } = this;
    if (!latest) return false;
    if (startedAtMs !== latest.startedAtMs) return startedAtMs < latest.startedAtMs;
    return instanceId === latest.instanceId && sequence <= latest.sequence;
  }

  private hasLeft({ instanceId, startedAtMs }: Heartbeat): boolean {
    const { left } = this;
    if (!left || left.instanceId !== instanceId) return false;
    return startedAtMs <= left.startedAtMs;
  }
}
