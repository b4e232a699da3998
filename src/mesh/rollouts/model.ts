/** Types of rollouts: the orders of operators and the status that the coordinator writes. */
import type { ServiceName, SoftwareVersion } from '../../types/ids.js';

/** Order of an operator to move the traffic of a service to the instances of a version. */
export interface RolloutOrder {
  readonly service: ServiceName;
  readonly targetVersion: SoftwareVersion;
  readonly durationMs: number;
}

/** A state that is stored. `promoting` is known only to the coordinator and to the nodes. */
export type StoredState = 'running' | 'completed' | 'rolled_back';

/** Stored status of an order. */
export interface RolloutStatus {
  readonly state: StoredState;
  readonly targetVersion: SoftwareVersion;
  /** End of the duration in Unix milliseconds; undefined where another writer has omitted it. */
  readonly deadlineUnixMs?: number | undefined;
}

/** Names of the platform for rollouts. */
export interface RolloutCodec {
  /** Kind of the objects that hold orders. */
  readonly kind: string;
  /** Returns an error message if the order is invalid. */
  readonly decodeOrder: (value: unknown) => RolloutOrder | string;
  /** Returns undefined if there is no status, or none that this system has written. */
  readonly decodeStatus: (value: unknown) => RolloutStatus | undefined;
  readonly encodeStatus: (status: RolloutStatus) => unknown;
}

/** Final states are never changed again. */
export function isFinalState(state: string | undefined): state is 'completed' | 'rolled_back' {
  return state === 'completed' || state === 'rolled_back';
}
