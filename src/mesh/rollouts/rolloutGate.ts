/**
 * Keeps requests away from versions that are not proven: filters the candidates of a call by the
 * version of their instances. It performs no I/O and reads no clock.
 */
import type { ServiceName, SoftwareVersion } from '../../types/ids.js';
import type { RolloutDirective } from '../coordination/model.js';

/** Age of a directive from which no requests go to an unproven version. */
const MAX_DIRECTIVE_AGE_MS = 1500;

/**
 * Time for which a directive holds that the coordinator no longer sends. A new coordinator does not
 * know the rollouts before it has read the store, which may be away.
 */
const MAX_MISSING_MS = 60_000;

/** A candidate whose instance has a version. */
export interface VersionedCandidate {
  readonly peer: { readonly record: { readonly version?: SoftwareVersion | undefined } };
}

interface KnownDirective {
  readonly directive: RolloutDirective;
  readonly receivedAtMs: number;
}

/** The version that was drawn for a call, which all its attempts keep to unless it is released. */
interface DrawnVersion {
  readonly targetVersion: SoftwareVersion;
  readonly isTarget: boolean;
}

/** Version choice of one sender, which is drawn once for each call. */
export class RolloutGate {
  private readonly directives = new Map<ServiceName, KnownDirective>();

  private readonly drawn = new WeakMap<object, DrawnVersion>();

  constructor(private readonly random: () => number = Math.random) {}

  /** Applies the directives of a response of the coordinator. */
  applyDirectives(directives: readonly RolloutDirective[], nowMs: number): void {
    for (const directive of directives) {
      this.directives.set(directive.service, { directive, receivedAtMs: nowMs });
    }
    for (const [service, { receivedAtMs }] of this.directives) {
      if (nowMs - receivedAtMs > MAX_MISSING_MS) this.directives.delete(service);
    }
  }

  /** Returns the directive for a service, however old. */
  findDirective(service: ServiceName): RolloutDirective | undefined {
    return this.directives.get(service)?.directive;
  }

  /**
   * Returns the candidates that a call may be sent to. If the instances of the chosen version have
   * all left, these are the remaining ones, unless their version was rolled back.
   */
  filterCandidates<Item extends VersionedCandidate>(
    call: object,
    service: ServiceName,
    candidates: Item[],
    nowMs: number,
  ): Item[] {
    const known = this.directives.get(service);
    if (!known) return candidates;
    const { directive } = known;
    const target: Item[] = [];
    const others: Item[] = [];
    for (const item of candidates) {
      if (item.peer.record.version === directive.targetVersion) target.push(item);
      else others.push(item);
    }
    if (directive.state === 'rolled_back') return others;
    const isTarget = this.chooseTarget(call, directive, nowMs - known.receivedAtMs);
    const [preferred, remaining] = isTarget ? [target, others] : [others, target];
    return preferred.length > 0 ? preferred : remaining;
  }

  /**
   * Lets a call that was drawn for an unproven version go to the other instances; returns true if
   * it was drawn so. Call it when no instance of the version takes the call.
   */
  releaseTarget(call: object, service: ServiceName): boolean {
    const directive = this.findDirective(service);
    const drawn = this.drawn.get(call);
    if (directive?.state !== 'running' || !drawn?.isTarget) return false;
    this.drawn.set(call, { ...drawn, isTarget: false });
    return true;
  }

  private chooseTarget(call: object, directive: RolloutDirective, ageMs: number): boolean {
    const { state, share, targetVersion } = directive;
    if (state === 'completed') return true;
    const isCurrent = ageMs <= MAX_DIRECTIVE_AGE_MS;
    const before = this.drawn.get(call);
    if (before?.targetVersion === targetVersion) return before.isTarget && isCurrent;
    const isTarget = isCurrent && (state === 'promoting' || this.random() < share);
    this.drawn.set(call, { targetVersion, isTarget });
    return isTarget;
  }
}
