/** The node's part of rollouts: follows the directives and reports the runs of its instance. */
import { brandText, type SoftwareVersion } from '../../types/ids.js';
import type { DirectiveListener, InstanceRuns, RolloutDirective } from '../coordination/model.js';
import { hasHeartbeat, type LocalInstance } from '../localInstance.js';
import { isFinalState } from './model.js';
import type { RolloutGate } from './rolloutGate.js';
import type { RunCounter } from './runCounter.js';

/** Reported for an instance without a version; no order can have it as its target. */
const UNNAMED_VERSION = brandText<SoftwareVersion>('');

/** Passes directives to the gate and reports what the counter has recorded. */
export class RolloutFollower implements DirectiveListener {
  constructor(
    private readonly gate: RolloutGate,
    private readonly counter: RunCounter,
    private readonly instance: Pick<LocalInstance, 'getState'>,
  ) {}

  applyDirectives(directives: readonly RolloutDirective[], nowMs: number): void {
    this.gate.applyDirectives(directives, nowMs);
  }

  /** Returns the runs of the local instance while a rollout of its service is undecided. */
  collectRuns(): InstanceRuns | undefined {
    const state = this.instance.getState();
    if (!hasHeartbeat(state)) return undefined;
    const { service, instanceId, version = UNNAMED_VERSION } = state.heartbeat;
    const directive = this.gate.findDirective(service);
    if (!directive || isFinalState(directive.state)) return undefined;
    return { service, version, instanceId, routes: this.counter.listRuns(instanceId) };
  }
}
