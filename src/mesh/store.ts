/** Interface of the platform's store, implemented in `platform/`. */
import type { Result } from 'neverthrow';
import type { StepError } from '../errors.js';
import type { ResponseMemory } from './responseMemory.js';
import type { Cancellation } from './signal.js';
import type { StoreEra } from './storeEra.js';

/** A stored object with the revision of its last change. */
export interface StoredObject {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
  /** What the system has written about the object; undefined or null if nothing. */
  readonly status?: unknown;
}

/** A change to an object. */
export type StoreEvent =
  | { readonly kind: 'stored'; readonly object: StoredObject }
  | { readonly kind: 'removed'; readonly name: string; readonly revision: number };

/** An object or event that could not be decoded; the others of its list or watch hold. */
export interface InvalidObject {
  /** Name of the object; empty if it is not readable. */
  readonly name: string;
  readonly error: StepError;
}

/** The objects of a kind at one revision. */
export interface StoreList {
  readonly objects: readonly StoredObject[];
  readonly invalid?: readonly InvalidObject[];
  readonly revision: number;
}

/** The changes since a revision. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  readonly invalid?: readonly InvalidObject[];
  readonly revision: number;
}

/** Options of one watch call. */
export interface WatchOptions {
  /** Ends the wait; a response that has begun to arrive is still read. */
  readonly cancellation?: Cancellation | undefined;
  readonly maxBytes?: number | undefined;
  /** True when the call needs a new connection, since the idle ones may have gone silent. */
  readonly needsNewConnection?: boolean | undefined;
}

/** A finished call to the store, as reported to listeners. */
export interface StoreCall {
  /** Step name of the call, such as `store.watch`. */
  readonly step: string;
  readonly kind: string;
  /** Received bytes, headers included; for a failed call those that arrived before the failure. */
  readonly bytes: number;
  /** Time from the start of the call to the first received bytes; undefined if none arrived. */
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
  /** Reason of the failure; undefined for a complete response of any status. */
  readonly failure: string | undefined;
}

/**
 * Store of objects by kind and name. Error kinds: `conflict` when the condition of a write does not
 * hold, `not-found`, `stale` when the history of a watch was compacted, `busy` when the store did
 * not execute the call, and `answer-lost` when the call may have been executed or may still be.
 */
export interface MeshStore {
  /** Era of the latest history that is known. */
  readonly era: StoreEra;
  list(kind: string): Promise<Result<StoreList, StepError>>;
  read(kind: string, name: string): Promise<Result<StoredObject, StepError>>;
  /**
   * Waits for changes after a revision, for up to `waitMs` or until cancelled. Fails as `too-large`
   * when there are changes in more than `maxBytes`; their transfer is broken off.
   */
  watch(
    kind: string,
    revision: number,
    waitMs: number,
    options?: WatchOptions,
  ): Promise<Result<StoreChanges, StepError>>;
  create(kind: string, name: string, value: unknown): Promise<Result<StoredObject, StepError>>;
  /** Replaces the object if its current revision is `revision`. */
  replace(
    kind: string,
    name: string,
    value: unknown,
    revision: number,
  ): Promise<Result<StoredObject, StepError>>;
  /** Replaces the status of the object if the current revision of the object is `revision`. */
  replaceStatus(
    kind: string,
    name: string,
    status: unknown,
    revision: number,
  ): Promise<Result<StoredObject, StepError>>;
  /** Removes the object if its current revision is `revision`. */
  remove(kind: string, name: string, revision: number): Promise<Result<void, StepError>>;
  /** Sets the memory in which the responses of the store count while they are read. */
  setMemory(memory: ResponseMemory): void;
  /** Registers a listener that is called after each call to the store. */
  onCall(listener: (call: StoreCall) => void): void;
  close(): void;
}
