/** What the mesh needs of the platform's store. `platform/` implements it. */
import type { Result } from 'neverthrow';
import type { StepError } from '../errors.js';
import type { Cancellation } from './signal.js';

/** A stored object with the revision of its last change. */
export interface StoredObject {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
}

/** A change of one object. */
export type StoreEvent =
  | { readonly kind: 'stored'; readonly object: StoredObject }
  | { readonly kind: 'removed'; readonly name: string; readonly revision: number };

/** The objects of a kind at one revision. */
export interface StoreList {
  readonly objects: readonly StoredObject[];
  readonly revision: number;
}

/** The changes since a revision. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  readonly revision: number;
}

/**
 * Objects by kind and name. Errors: `conflict` when a condition does not hold, `not-found`,
 * `stale` when the history of a watch is gone, `busy` when nothing was done, and `answer-lost`
 * when a call may have been executed or may still be.
 */
export interface MeshStore {
  list(kind: string): Promise<Result<StoreList, StepError>>;
  /** Reads one object. */
  read(kind: string, name: string): Promise<Result<StoredObject, StepError>>;
  /** Waits for changes after a revision, up to `waitMs` or until the wait is cancelled. */
  watch(
    kind: string,
    revision: number,
    waitMs: number,
    cancellation?: Cancellation,
  ): Promise<Result<StoreChanges, StepError>>;
  create(kind: string, name: string, value: unknown): Promise<Result<StoredObject, StepError>>;
  /** Replaces the object if its revision is `revision`. */
  replace(
    kind: string,
    name: string,
    value: unknown,
    revision: number,
  ): Promise<Result<StoredObject, StepError>>;
  remove(kind: string, name: string, revision: number): Promise<Result<void, StepError>>;
  close(): void;
}
