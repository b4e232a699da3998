/** Acceptance of a configuration version by one conditional write to the head object. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, Head } from '../../generated/types.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';
import { computeDelayMs, waitMs, type BackoffBounds } from '../../utils/backoff.js';
import { buildHead } from './buildBundle.js';
import { findOperation } from './findOperation.js';
import { formatBundleName, HEAD_NAME, readBundle, readHead } from './readHead.js';

/** Outcome of an attempt to accept a bundle. */
export type AcceptOutcome =
  | { readonly kind: 'accepted'; readonly version: number; readonly operationId: string }
  /** Another operation was accepted as this version; this one did not and cannot take effect. */
  | { readonly kind: 'superseded'; readonly operationId: string }
  /** A write was sent and its effect is unknown; `config status` can resolve it later. */
  | { readonly kind: 'unknown'; readonly operationId: string; readonly cause: StepError };

/** Limits for retries of platform requests. */
export interface AcceptOptions {
  readonly maxAttempts?: number;
  readonly backoff?: BackoffBounds;
  /** Waits between attempts; tests replace it. */
  readonly wait?: (delayMs: number) => Promise<void>;
}

const STEP = 'config.accept';
// All delays add up to at most about 6 s: longer than a restart of the platform's front end, and
// short enough for an operator who waits at a prompt.
const DEFAULT_MAX_ATTEMPTS = 6;
const DEFAULT_BACKOFF: BackoffBounds = { baseMs: 200, maxMs: 2000 };

/** Returns true for errors after which the same conditional request can be retried. */
function isTransient(error: StepError): boolean {
  return ['unavailable', 'answer-lost', 'timeout', 'busy'].includes(error.kind);
}

/** Counts the attempts of one request and waits between them. */
class RetrySchedule {
  private attemptCount = 0;

  constructor(private readonly options: AcceptOptions) {}

  /** Waits before the next attempt; returns false when the attempts are exhausted. */
  async waitForNext(): Promise<boolean> {
    const {
      maxAttempts = DEFAULT_MAX_ATTEMPTS,
      backoff = DEFAULT_BACKOFF,
      wait = waitMs,
    } = this.options;
    this.attemptCount += 1;
    if (this.attemptCount >= maxAttempts) return false;
    await wait(computeDelayMs(backoff, this.attemptCount - 1));
    return true;
  }
}

/** Creates the bundle object, which has no effect until the head refers to it. */
async function createBundle(
  platform: PlatformClient,
  bundle: Bundle,
  options: AcceptOptions,
): Promise<Result<void, StepError>> {
  const attempts = new RetrySchedule(options);
  for (;;) {
    const created = await platform.create(formatBundleName(bundle.operationId), bundle);
    if (created.isOk()) return ok(undefined);
    if (created.error.kind === 'conflict') {
      // Operation ids are random, so an existing object was created by an earlier attempt.
      const stored = await readBundle(platform, bundle.operationId);
      if (stored.isErr()) return err(stored.error);
      if (stored.value?.digest === bundle.digest) return ok(undefined);
      const message = `a bundle with a different digest is stored as ${bundle.operationId}`;
      return err(buildError('mismatch', STEP, 'platform', message));
    }
    if (!isTransient(created.error) || !(await attempts.waitForNext())) {
      return err(created.error);
    }
  }
}

function writeHead(
  platform: PlatformClient,
  bundle: Bundle,
  parent: PlatformObject<Head> | undefined,
): Promise<Result<number, StepError>> {
  const head = buildHead(bundle, parent?.value);
  if (!parent) return platform.create(HEAD_NAME, head);
  return platform.update(HEAD_NAME, head, parent.version);
}

/** Reads the head to resolve the outcome of a write; after `open`, the write can be retried. */
async function resolveWrite(
  platform: PlatformClient,
  bundle: Bundle,
): Promise<Result<'accepted' | 'superseded' | 'open', StepError>> {
  const head = await readHead(platform);
  if (head.isErr()) return err(head.error);
  const { operationId, version } = bundle;
  const found = await findOperation(platform, head.value?.value, operationId, version);
  if (found.isErr()) return err(found.error);
  if (found.value.kind !== 'untraceable') return ok(found.value.kind);
  const message = `version ${version} is older than the retained versions`;
  return err(buildError('stale', STEP, 'platform', message));
}

async function updateHead(
  platform: PlatformClient,
  bundle: Bundle,
  parent: PlatformObject<Head> | undefined,
  options: AcceptOptions,
): Promise<Result<AcceptOutcome, StepError>> {
  const { operationId, version } = bundle;
  const attempts = new RetrySchedule(options);
  // True once the outcome of a write is unknown: it may take effect even if later attempts fail.
  let hasUncertainWrite = false;
  for (;;) {
    const written = await writeHead(platform, bundle, parent);
    if (written.isOk()) return ok({ kind: 'accepted', version, operationId });
    let { error } = written;
    if (error.kind !== 'conflict' && !isTransient(error)) {
      return hasUncertainWrite ? ok({ kind: 'unknown', operationId, cause: error }) : err(error);
    }
    hasUncertainWrite ||= error.kind === 'answer-lost' || error.kind === 'timeout';
    const resolved = await resolveWrite(platform, bundle);
    if (resolved.isErr()) {
      error = resolved.error;
    } else if (resolved.value === 'accepted') {
      return ok({ kind: 'accepted', version, operationId });
    } else if (resolved.value === 'superseded') {
      return ok({ kind: 'superseded', operationId });
    }
    if (!(await attempts.waitForNext())) {
      return hasUncertainWrite ? ok({ kind: 'unknown', operationId, cause: error }) : err(error);
    }
  }
}

/**
 * Stores a bundle and updates the head to it by one conditional write. `parent` is the head that
 * was read when the bundle was built. An error means that nothing was accepted.
 */
export async function acceptBundle(
  platform: PlatformClient,
  bundle: Bundle,
  parent: PlatformObject<Head> | undefined,
  options: AcceptOptions = {},
): Promise<Result<AcceptOutcome, StepError>> {
  if ((parent?.value.operationId ?? '') !== bundle.parent.operationId) {
    const message = 'the parent of the bundle is not the head that was read';
    return err(buildError('mismatch', STEP, 'self', message));
  }
  const created = await createBundle(platform, bundle, options);
  if (created.isErr()) return err(created.error);
  return updateHead(platform, bundle, parent, options);
}
