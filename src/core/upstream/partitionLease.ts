/**
 * Ownership of one key partition, as recorded in the platform. Safety rests on the recorded
 * bounds alone: a key may be run by the owner whose interval holds the key's time, whatever any
 * clock says and however late this process runs.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { KeyPartition } from '../../generated/types.js';
import { validateKeyPartition } from '../../generated/validators.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';

/** Attempts to truncate at a graceful stop; each may have lost its answer. */
const RELEASE_ATTEMPTS = 3;

/** What a lease needs. */
export interface PartitionLeaseOptions {
  readonly platform: Pick<PlatformClient, 'read' | 'create' | 'update'>;
  /** Name of the platform object. */
  readonly name: string;
  readonly nodeId: string;
  readonly incarnation: string;
  /** How far beyond now the owner's interval is extended, in milliseconds. */
  readonly horizonMs: number;
  readonly now: () => number;
}

/** The partition as this process last saw it. */
export type PartitionView = KeyPartition | 'absent' | 'unread';

/** Times of the keys in an interval: from the first bound to before the second. */
export type Bounds = Pick<KeyPartition, 'from' | 'until'>;

/** One partition's ownership. Operations on the platform run one after another. */
export interface PartitionLease {
  /** Bounds within which this process may dispatch keys, or undefined when it owns nothing. */
  getHeld(): Bounds | undefined;
  /**
   * Bounds that stay with this process after a release: the keys below the recorded end that the
   * release asks for. No other process can own them, whether or not the truncation takes effect.
   */
  getRetained(): Bounds | undefined;
  getView(): PartitionView;
  /** The record that the last claim of this process replaced. */
  getPrevious(): KeyPartition | undefined;
  /** True after a write whose effect is not known. */
  isUncertain(): boolean;
  /** Records that a key of this time is handed to an upstream now. */
  recordTaken(timeMs: number): void;
  read(): Promise<Result<void, StepError>>;
  /** Takes the partition from the end of the interval that was last seen. */
  claim(): Promise<Result<void, StepError>>;
  /** Extends the held interval. */
  renew(): Promise<Result<void, StepError>>;
  /** Stops dispatching at once and truncates the recorded interval. */
  release(): Promise<Result<void, StepError>>;
}

/** Creates the lease of a partition that was not read yet. */
export function createPartitionLease(options: PartitionLeaseOptions): PartitionLease {
  const { platform, name, nodeId, incarnation, horizonMs, now } = options;
  const owner = { nodeId, incarnation };
  let seen: PlatformObject<KeyPartition> | 'absent' | 'unread' = 'unread';
  let isUncertain = false;
  let isReleased = false;
  // A truncation sent for this version may still take effect, so the object at this version
  // gives no right to dispatch even if it names this process.
  let fencedVersion = -1;
  let lastTakenMs = -1;
  let retained: Bounds | undefined;
  let previous: KeyPartition | undefined;
  let queue: Promise<unknown> = Promise.resolve();

  const runInTurn = <Value>(work: () => Promise<Value>): Promise<Value> => {
    const turn = queue.then(work);
    queue = turn.catch(() => undefined);
    return turn;
  };

  const isOwn = (object: PlatformObject<KeyPartition>) =>
    object.value.nodeId === nodeId &&
    object.value.incarnation === incarnation &&
    object.version > fencedVersion;

  const getHeld = () => {
    if (isReleased || typeof seen === 'string' || !isOwn(seen)) return undefined;
    return seen.value;
  };

  const readNow = async (): Promise<Result<void, StepError>> => {
    const answer = await platform.read<unknown>(name);
    if (answer.isErr()) return err(answer.error);
    const object = answer.value;
    if (object && !validateKeyPartition(object.value)) {
      return err(buildError('invalid', 'partition.read', name, 'not a key partition'));
    }
    isUncertain = false;
    if (object) {
      if (typeof seen === 'string' || object.version >= seen.version) {
        seen = object as PlatformObject<KeyPartition>;
      }
    } else if (typeof seen === 'string') {
      seen = 'absent';
    } else {
      // A partition object is never removed: its bounds would be lost with it.
      return err(buildError('mismatch', 'partition.read', name, 'the object was removed'));
    }
    return ok(undefined);
  };

  const writeNow = async (value: KeyPartition): Promise<Result<void, StepError>> => {
    if (seen === 'unread') {
      return err(buildError('stale', 'partition.write', name, 'not read yet'));
    }
    const answer =
      seen === 'absent'
        ? await platform.create(name, value)
        : await platform.update(name, value, seen.version);
    if (answer.isOk()) {
      seen = { name, version: answer.value, value };
      return ok(undefined);
    }
    // After any failure the object itself tells whether the write took effect.
    isUncertain = true;
    const seenAgain = await readNow();
    return seenAgain.isErr() ? err(seenAgain.error) : err(answer.error);
  };

  const claimNow = async (): Promise<Result<void, StepError>> => {
    if (seen === 'unread' || isUncertain) {
      const answer = await readNow();
      if (answer.isErr()) return answer;
    }
    if (typeof seen === 'object' && isOwn(seen)) {
      isReleased = false;
      return ok(undefined);
    }
    const replaced = typeof seen === 'object' ? seen.value : undefined;
    const from = replaced?.until ?? 0;
    const until = Math.max(from, now() + horizonMs);
    const written = await writeNow({ ...owner, from, until });
    if (typeof seen === 'object' && isOwn(seen)) {
      previous = replaced;
      isReleased = false;
      return ok(undefined);
    }
    return written;
  };

  const renewNow = async (): Promise<Result<void, StepError>> => {
    if (isUncertain) {
      const answer = await readNow();
      if (answer.isErr()) return answer;
    }
    const held = getHeld();
    if (!held) return err(buildError('stale', 'partition.renew', name, 'not the owner'));
    const until = Math.max(held.until, now() + horizonMs);
    return writeNow({ ...owner, from: held.from, until });
  };

  /**
   * The end of the interval at a release: just above the latest key handed over. Keys above it
   * that were made before the release are left to the next owner.
   */
  const computeReleasedUntil = (from: number) => Math.max(from, lastTakenMs + 1);

  const releaseNow = async (): Promise<Result<void, StepError>> => {
    for (let attempt = 1; ; attempt += 1) {
      if (isUncertain) await readNow();
      if (typeof seen === 'string' || seen.value.nodeId !== nodeId) return ok(undefined);
      if (seen.value.incarnation !== incarnation) return ok(undefined);
      const { from } = seen.value;
      const until = computeReleasedUntil(from);
      if (until >= seen.value.until) return ok(undefined);
      fencedVersion = Math.max(fencedVersion, seen.version);
      const written = await writeNow({ ...owner, from, until });
      if (written.isOk() || attempt === RELEASE_ATTEMPTS) return written;
    }
  };

  return {
    getHeld,
    getRetained: () => retained,
    getPrevious: () => previous,
    getView: () => (typeof seen === 'string' ? seen : seen.value),
    isUncertain: () => isUncertain,
    recordTaken(timeMs) {
      lastTakenMs = Math.max(lastTakenMs, timeMs);
    },
    read: () => runInTurn(readNow),
    claim: () => runInTurn(claimNow),
    renew: () => runInTurn(renewNow),
    release() {
      const held = getHeld();
      if (held) retained = { from: held.from, until: computeReleasedUntil(held.from) };
      isReleased = true;
      return runInTurn(releaseNow);
    },
  };
}
