/** Garbage collection of bundles whose `apply` ended before their version was accepted. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { Bundle, Head } from '../../generated/types.js';
import { validateBundle } from '../../generated/validators.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';
import { RETAINED_VERSIONS } from './pruneBundles.js';
import { formatBundleName, readHead } from './readHead.js';

/**
 * State of a stored bundle:
 * - `accepted`: the version is in the history;
 * - `open`: its version is above the head, so a delayed `apply` may still make it the head;
 * - `recent`: it is orphaned, but retained because `config status` may still need it;
 * - `unclear`: the history needed to decide was removed;
 * - `malformed`: it is not a bundle, or its name does not match its operation id;
 * - `orphaned`: another operation was accepted as its version, or its version is older than the
 *   retained ones.
 */
export type BundleState = 'accepted' | 'open' | 'recent' | 'unclear' | 'malformed' | 'orphaned';

/** Result of a garbage collection; bundles are listed by operation id. */
export interface PruneReport {
  /** Removed bundles; in a dry run, the bundles that would be removed. */
  readonly removed: readonly string[];
  /** Bundles that were not removed, or that changed since the list; the next run retries them. */
  readonly failed: readonly string[];
  readonly kept: Readonly<Record<Exclude<BundleState, 'orphaned'>, number>>;
}

/** Options of a garbage collection. */
export interface PruneOptions {
  /** Orphaned bundles younger than this, by their own creation time, are retained. */
  readonly minAgeMs: number;
  readonly isDryRun?: boolean;
}

const BUNDLE_KIND = 'bundles';

function isBundle(object: PlatformObject<unknown>): object is PlatformObject<Bundle> {
  const { name, value } = object;
  return validateBundle(value) && formatBundleName((value as Bundle).operationId) === name;
}

/** Maps accepted versions to operation ids, from `recent` and the chain of older parents. */
function collectAccepted(head: Head, bundles: readonly Bundle[]): Map<number, string> {
  const accepted = new Map(head.recent.map(({ version, operationId }) => [version, operationId]));
  const byOperation = new Map(bundles.map((bundle) => [bundle.operationId, bundle]));
  let bundle = byOperation.get(head.recent.at(-1)?.operationId ?? head.operationId);
  while (bundle && bundle.parent.version > 0 && !accepted.has(bundle.parent.version)) {
    accepted.set(bundle.parent.version, bundle.parent.operationId);
    bundle = byOperation.get(bundle.parent.operationId);
  }
  return accepted;
}

function classifyBundle(
  { version, operationId, acceptedAtMs = 0 }: Bundle,
  head: Head | undefined,
  accepted: ReadonlyMap<number, string>,
  minAgeMs: number,
): BundleState {
  // The write that makes this bundle the head is conditional on a head below its version.
  if (!head || version > head.version) return 'open';
  if (version <= head.version - RETAINED_VERSIONS) return 'orphaned';
  const holder = accepted.get(version);
  if (holder === undefined) return 'unclear';
  if (holder === operationId) return 'accepted';
  return acceptedAtMs > Date.now() - minAgeMs ? 'recent' : 'orphaned';
}

/**
 * Removes the bundles that can never become the head again, because another operation was accepted
 * as their version or the version is no longer retained. The minimum age only keeps `config status`
 * able to report on recent operations; safety does not depend on a clock.
 */
export async function pruneOrphanedBundles(
  platform: PlatformClient,
  { minAgeMs, isDryRun = false }: PruneOptions,
): Promise<Result<PruneReport, StepError>> {
  const listed = await platform.list<unknown>(BUNDLE_KIND);
  if (listed.isErr()) return err(listed.error);
  // Read after the list, since no bundle becomes open again when the head advances.
  const headResult = await readHead(platform);
  if (headResult.isErr()) return err(headResult.error);
  const head = headResult.value?.value;
  const bundles = listed.value.filter(isBundle).map(({ value }) => value);
  const accepted = head ? collectAccepted(head, bundles) : new Map<number, string>();
  const kept = { accepted: 0, open: 0, recent: 0, unclear: 0, malformed: 0 };
  const removed: string[] = [];
  const failed: string[] = [];
  for (const object of listed.value) {
    const state = isBundle(object)
      ? classifyBundle(object.value, head, accepted, minAgeMs)
      : 'malformed';
    if (state !== 'orphaned') {
      kept[state] += 1;
      continue;
    }
    const operationId = object.name.slice(BUNDLE_KIND.length + 1);
    const removal = isDryRun ? ok(undefined) : await platform.remove(object.name, object.version);
    const isRemoved = removal.isOk() || removal.error.kind === 'not-found';
    (isRemoved ? removed : failed).push(operationId);
  }
  return ok({ removed, failed, kept });
}
