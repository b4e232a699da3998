/**
 * Watches the objects of a kind: lists them, then watches for changes. Lists them again after
 * history compaction, when the era of the store has risen, or when other nodes have observed later
 * changes.
 */
import type { StepError } from '../errors.js';
import { computeDelayMs, waitMs as wait } from '../utils/backoff.js';
import type { EventLog } from './eventLog.js';
import { InvalidObjectLog } from './invalidObjectLog.js';
import type { InterruptReason, KindPosition } from './kindPosition.js';
import type { NodeFollower } from './followers.js';
import { Cancellation } from './signal.js';
import type { StoreContact } from './storeContact.js';
import type { MeshStore, StoreChanges, StoreEvent, StoreList, InvalidObject } from './store.js';

/**
 * Wait of the first watch after a failure or on a new connection; it is short so that it is soon
 * known whether the store responds.
 */
const RECOVERY_WATCH_MS = 300;

/** Delay of a response from which the store is slow, so that the next watch waits only shortly. */
const SLOW_RESPONSE_MS = 500;

/**
 * Backoff from the start of a failed call; its maximum bounds the time to detect that the store is
 * back.
 */
const BACKOFF = { baseMs: 150, maxMs: 900 };

/** Receives the lists and events of a watch. */
export interface KindListener {
  applyList(list: StoreList): void;
  applyEvent(event: StoreEvent): void;
}

/** Revision up to which a node that has just started has all objects, and its era. */
export interface FirstPosition {
  readonly revision: number;
  readonly era: number;
}

/** Where a node with a low-bandwidth link gets changes, so that it need not read whole objects. */
export interface ChangeSource {
  /** Returns the size up to which the response of a watch is read, in bytes; undefined for any. */
  readonly getMaxBytes: () => number | undefined;
  /**
   * Applies the changes after `revision` and returns the revision that was reached; undefined when
   * the store has to be read. `canConfirm` is true when there may be no change.
   */
  readonly fetch: (revision: number, canConfirm: boolean) => Promise<number | undefined>;
  /** Gets the objects for a node that has just started; undefined as for `fetch`. */
  readonly fetchFirst: () => Promise<FirstPosition | undefined>;
}

/** Options of a watch. */
export interface WatchKindOptions {
  readonly store: Pick<MeshStore, 'list' | 'watch'>;
  readonly kind: string;
  readonly listener: KindListener;
  readonly position: KindPosition;
  readonly log: EventLog;
  /** Returns how long the next watch waits for changes, in milliseconds. */
  readonly getWaitMs: () => number;
  /** Returns the pause after a change, so that changes in quick succession share a call. */
  readonly getPauseMs: () => number;
  readonly isStopped: () => boolean;
  readonly source?: ChangeSource;
  /** Gets the changes from other nodes where these read the store. */
  readonly follower?: Pick<NodeFollower, 'follow' | 'recordStoreLost'>;
  /** Told whether this node reads the store, on which other nodes may rely. */
  readonly contact?: StoreContact;
}

function logInvalid(log: InvalidObjectLog, invalid: readonly InvalidObject[] = []): void {
  for (const { name, error } of invalid) log.record(name, error.step, error.message);
}

function applyList({ listener, position }: WatchKindOptions, list: StoreList): void {
  listener.applyList(list);
  for (const { revision } of list.objects) position.recordChange(revision);
  position.recordList(list.revision);
}

/** Returns the revision after `revision` to watch from; undefined when a list is needed. */
async function fetchChanges(
  { source, position }: WatchKindOptions,
  revision: number,
  canConfirm: boolean,
): Promise<number | undefined> {
  const era = position.getEra();
  const reached = await source?.fetch(revision, canConfirm);
  if (reached === undefined || era !== position.getEra()) return undefined;
  position.recordList(reached);
  return reached;
}

function applyChanges({ listener, position }: WatchKindOptions, changes: StoreChanges): void {
  for (const event of changes.events) {
    listener.applyEvent(event);
    position.recordChange(event.kind === 'stored' ? event.object.revision : event.revision);
  }
  position.recordSynced(changes.revision);
}

/** Result of an attempt to follow another node. */
type FollowResult =
  | { readonly kind: 'reached'; readonly revision: number }
  | { readonly kind: 'again'; readonly interruptReason: InterruptReason | undefined }
  | { readonly kind: 'store' };

/**
 * Follows another node for one answer. `awaitedSinceMs` is the time since which nodes have been
 * followed.
 */
async function followChanges(
  options: WatchKindOptions,
  revision: number,
  awaitedSinceMs: number,
): Promise<FollowResult> {
  const { follower, position } = options;
  if (!follower) return { kind: 'store' };
  const era = position.getEra();
  const cancellation = new Cancellation();
  let interruptReason: InterruptReason | undefined;
  position.setInterrupt((reason) => {
    interruptReason ??= reason;
    cancellation.cancel();
  }, awaitedSinceMs);
  const getReason = () => interruptReason;
  const followed = await follower.follow(revision, { cancellation, getReason });
  position.setInterrupt(undefined);
  if (era !== position.getEra()) return { kind: 'again', interruptReason: undefined };
  if (followed.kind !== 'store') options.contact?.recordLost();
  switch (followed.kind) {
    case 'store':
      return followed;
    case 'again':
      return { kind: 'again', interruptReason };
    case 'changes':
      applyChanges(options, followed.changes);
      return { kind: 'reached', revision: Math.max(revision, followed.changes.revision) };
    case 'list':
      applyList(options, followed.list);
      return { kind: 'reached', revision: followed.list.revision };
    default:
      throw new Error(`unknown answer ${JSON.stringify(followed satisfies never)}`);
  }
}

/** Watches a kind until `isStopped` returns true. Never throws. */
export async function watchKind(options: WatchKindOptions): Promise<void> {
  const { store, kind, position, log, isStopped } = options;
  const invalidObjectLog = new InvalidObjectLog(log, 'object-invalid');
  const first = await options.source?.fetchFirst();
  let revision = first?.revision;
  /** Era that `revision` belongs to. */
  let era = first?.era ?? position.getEra();
  if (first && era === position.getEra()) position.recordList(first.revision);
  let failures = 0;
  /** True when the last long poll was interrupted since nothing had confirmed its revision. */
  let isUnconfirmed = false;
  /** True when the latest response of a watch was slow. */
  let isStoreSlow = false;
  /** Time of the last call to the store, or at which other sources were chosen without evidence. */
  let calledAtMs = performance.now();
  const recordFailure = async (
    { step, message, kind: errorKind }: StepError,
    startedAtMs: number,
  ): Promise<void> => {
    if (failures === 0) log.write('warn', 'store-lost', { step, peer: kind, reason: message });
    // The store may be slow: the next call waits longer for it.
    const isLost = failures > 0 || errorKind !== 'answer-lost';
    if (isLost) {
      options.contact?.recordLost();
      options.follower?.recordStoreLost();
    }
    failures += 1;
    isUnconfirmed = false;
    const elapsedMs = performance.now() - startedAtMs;
    await wait(Math.max(computeDelayMs(BACKOFF, 0), computeDelayMs(BACKOFF, failures) - elapsedMs));
  };
  const recordSuccess = (confirmedAtMs: number, requestedAtMs: number) => {
    if (failures > 0) {
      const currentEra = position.getEra();
      log.write('info', 'store-regained', { peer: kind, failures, revision, era: currentEra });
    }
    failures = 0;
    isUnconfirmed = false;
    position.recordConfirmed(confirmedAtMs, requestedAtMs);
    options.contact?.recordRead(performance.now());
  };
  while (!isStopped()) {
    if (era !== position.getEra()) {
      const isListed = revision !== undefined;
      era = position.getEra();
      revision = isListed ? await fetchChanges(options, 0, true) : undefined;
      continue;
    }
    if (revision === undefined) {
      const startedAtMs = performance.now();
      options.contact?.recordCall();
      const listed = await store.list(kind);
      if (listed.isErr()) {
        await recordFailure(listed.error, startedAtMs);
        continue;
      }
      recordSuccess(startedAtMs, startedAtMs);
      logInvalid(invalidObjectLog, listed.value.invalid);
      applyList(options, listed.value);
      revision = listed.value.revision;
      era = position.getEra();
    }
    const followed = await followChanges(options, revision, calledAtMs);
    if (isStopped()) return;
    if (followed.kind === 'again') {
      isUnconfirmed ||= followed.interruptReason === 'unconfirmed';
      if (followed.interruptReason === 'unconfirmed') calledAtMs = performance.now();
      continue;
    }
    if (followed.kind === 'reached') {
      isUnconfirmed = false;
      revision = followed.revision;
      continue;
    }
    if (era !== position.getEra()) continue;
    options.contact?.recordCall();
    const interruption = new Cancellation();
    let interruptReason: InterruptReason | undefined;
    position.setInterrupt((reason) => {
      interruptReason ??= reason;
      interruption.cancel();
    });
    const isRecovering: boolean = failures > 0 || isUnconfirmed || isStoreSlow;
    const waitMs: number = isRecovering ? RECOVERY_WATCH_MS : options.getWaitMs();
    const startedAtMs = performance.now();
    const watched = await store.watch(kind, revision, waitMs, {
      cancellation: interruption,
      maxBytes: options.source?.getMaxBytes(),
      needsNewConnection: isUnconfirmed,
    });
    position.setInterrupt(undefined);
    calledAtMs = performance.now();
    if (isStopped()) return;
    if (era !== position.getEra()) {
      log.write('info', 'history-replaced', { peer: kind, revision, era: position.getEra() });
      continue;
    }
    if (watched.isErr()) {
      if (interruptReason === 'unconfirmed') {
        log.write('warn', 'watch-unconfirmed', { step: 'store.watch', peer: kind, revision, era });
        isUnconfirmed = true;
      } else if (interruption.isCancelled()) {
        log.write('warn', 'watch-behind', { step: 'store.watch', peer: kind, revision, era });
        revision = await fetchChanges(options, revision, true);
      } else if (watched.error.kind === 'stale') {
        log.write('info', 'history-gone', { peer: kind, revision, era });
        revision = await fetchChanges(options, revision, true);
      } else if (watched.error.kind === 'too-large') {
        revision = await fetchChanges(options, revision, false);
        if (revision !== undefined) options.contact?.recordRead(performance.now());
      } else {
        await recordFailure(watched.error, startedAtMs);
      }
      continue;
    }
    const hasChanges = watched.value.events.length > 0;
    const arrivedAtMs = performance.now();
    isStoreSlow = !hasChanges && arrivedAtMs - startedAtMs - waitMs > SLOW_RESPONSE_MS;
    // A response was sent at the latest when its wait was over, however late it arrives.
    const confirmedAtMs = Math.min(arrivedAtMs, startedAtMs + waitMs);
    recordSuccess(confirmedAtMs, startedAtMs);
    logInvalid(invalidObjectLog, watched.value.invalid);
    applyChanges(options, watched.value);
    revision = Math.max(revision, watched.value.revision);
    if (hasChanges) await wait(options.getPauseMs());
  }
}
