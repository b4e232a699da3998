/** Removal of bundles that were stored by an `apply` that ended before its version was accepted. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { Bundle, Head } from '../../generated/types.js';
import { validateBundle } from '../../generated/validators.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';
import { RETAINED_VERSIONS } from './pruneBundles.js';
import { formatBundleName, readHead } from './readHead.js';

/**
 * What a stored bundle is:
 * - `accepted`: the version is in the history;
 * - `open`: its version is above the head, so an `apply` that is paused may still make it the head;
 * - `recent`: it lost, but `config status` may still be asked about it;
 * - `unclear`: the history that would tell is no longer kept;
 * - `malformed`: not a bundle, or stored under another name than its own;
 * - `lost`: another operation holds its version, or its version is no longer kept.
 */
export type BundleState = 'accepted' | 'open' | 'recent' | 'unclear' | 'malformed' | 'lost';

/** What became of the stored bundles, by operation id. */
export interface PruneReport {
  /** Removed, or what would be removed in a dry run. */
  readonly removed: readonly string[];
  /** Could not be removed, or changed meanwhile; the next run decides again. */
  readonly failed: readonly string[];
  readonly kept: Readonly<Record<Exclude<BundleState, 'lost'>, number>>;
}

/** Options of a prune. */
export interface PruneOptions {
  /** Age by the bundle's own time of creation below which a lost bundle is kept. */
  readonly minAgeMs: number;
  readonly isDryRun?: boolean;
}

const BUNDLE_PREFIX = 'bundles';

function isBundle(object: PlatformObject<unknown>): object is PlatformObject<Bundle> {
  const { name, value } = object;
  return validateBundle(value) && formatBundleName((value as Bundle).operationId) === name;
}

/** Operation ids of the accepted versions, from `recent` and along the parents beyond it. */
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
  // The one write that could name the bundle is conditional on the head below its version.
  if (!head || version > head.version) return 'open';
  if (version <= head.version - RETAINED_VERSIONS) return 'lost';
  const holder = accepted.get(version);
  if (holder === undefined) return 'unclear';
  if (holder === operationId) return 'accepted';
  return acceptedAtMs > Date.now() - minAgeMs ? 'recent' : 'lost';
}

/**
 * Removes the bundles that can never become the head: those whose version is held by another
 * operation. The age only keeps answers of `config status`; safety does not depend on a clock.
 */
export async function pruneOrphanedBundles(
  platform: PlatformClient,
  { minAgeMs, isDryRun = false }: PruneOptions,
): Promise<Result<PruneReport, StepError>> {
  const listed = await platform.list<unknown>(BUNDLE_PREFIX);
  if (listed.isErr()) return err(listed.error);
  // Read after the list: a later head leaves fewer bundles open, and never brings one back.
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
    if (state !== 'lost') {
      kept[state] += 1;
      continue;
    }
    const operationId = object.name.slice(BUNDLE_PREFIX.length + 1);
    const removal = isDryRun ? ok(undefined) : await platform.remove(object.name, object.version);
    const isRemoved = removal.isOk() || removal.error.kind === 'not-found';
    (isRemoved ? removed : failed).push(operationId);
  }
  return ok({ removed, failed, kept });
}
