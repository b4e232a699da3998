/** Constructs the parts of a node that handle rollouts. */
import type { EventLog } from '../eventLog.js';
import type { LocalInstance } from '../localInstance.js';
import type { MeshMetrics } from '../meshMetrics.js';
import type { MeshSettings } from '../model.js';
import type { MeshStore } from '../store.js';
import type { RolloutCodec } from './model.js';
import { RolloutCoordinator } from './rolloutCoordinator.js';
import { RolloutFollower } from './rolloutFollower.js';
import { RolloutGate } from './rolloutGate.js';
import { listRolloutSamples } from './rolloutSamples.js';
import { RunCounter } from './runCounter.js';

export interface RolloutPartsOptions {
  readonly adapter: { readonly store: MeshStore; readonly rollouts: RolloutCodec };
  readonly getSettings: () => MeshSettings;
  readonly instance: LocalInstance;
  readonly log: EventLog;
  readonly metrics: MeshMetrics;
}

/** `source` answers the reports of the nodes; `listener` gets the answers of the coordinator. */
export interface RolloutParts {
  readonly source: RolloutCoordinator;
  readonly listener: RolloutFollower;
  readonly gate: RolloutGate;
  readonly counter: RunCounter;
}

/** Call it only if the settings have a rollout policy; nothing of rollouts runs without it. */
export function createRolloutParts(options: RolloutPartsOptions): RolloutParts {
  const { adapter, getSettings, instance, log, metrics } = options;
  const gate = new RolloutGate();
  const counter = new RunCounter();
  const source = new RolloutCoordinator({
    store: adapter.store,
    codec: adapter.rollouts,
    getPolicy: () => getSettings().rollout,
    log,
    metrics,
  });
  metrics.registerSource(() => listRolloutSamples(source));
  return {
    source,
    listener: new RolloutFollower(gate, counter, instance),
    gate,
    counter,
  };
}
