/** Removal of old bundles, which bounds the size of the platform's store. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { BundleIndex, Head } from '../../generated/types.js';
import { validateBundleIndex } from '../../generated/validators.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { formatBundleName } from './readHead.js';

/** Number of versions whose bundles are retained for history, status and merges. */
export const RETAINED_VERSIONS = 256;

/** Platform object that lists the stored bundles, since `recent` of the head lists only 128. */
const INDEX_NAME = 'config/bundles';

/** Bounds the duration of one apply after removals of earlier ones failed. */
const MAX_REMOVALS_PER_APPLY = 32;

type IndexEntry = BundleIndex['bundles'][number];

function mergeEntries(head: Head, indexed: readonly IndexEntry[]): IndexEntry[] {
  const entries = new Map<string, IndexEntry>();
  for (const { version, operationId } of [...head.recent, ...indexed]) {
    entries.set(operationId, { version, operationId });
  }
  return [...entries.values()].sort((a, b) => b.version - a.version);
}

async function removeBundle(platform: PlatformClient, operationId: string): Promise<boolean> {
  const name = formatBundleName(operationId);
  const found = await platform.read(name);
  if (found.isErr()) return false;
  if (found.value === undefined) return true;
  const removed = await platform.remove(name, found.value.version);
  return removed.isOk() || removed.error.kind === 'not-found';
}

/** Removes the bundle of a superseded operation; a failure leaves an orphaned object. */
export async function removeSupersededBundle(
  platform: PlatformClient,
  operationId: string,
): Promise<void> {
  await removeBundle(platform, operationId);
}

/**
 * Removes the bundles of versions older than the last 256 and returns their number. Failed removals
 * stay in the index for the next apply. A conflict in the update of the index is ignored, since the
 * next apply updates it.
 */
export async function pruneBundles(
  platform: PlatformClient,
  head: Head,
): Promise<Result<number, StepError>> {
  const index = await platform.read<BundleIndex>(INDEX_NAME);
  if (index.isErr()) return err(index.error);
  const stored = index.value;
  // A malformed index is replaced; it lists only candidates for removal.
  const known = stored && validateBundleIndex(stored.value) ? stored.value.bundles : [];
  const kept: IndexEntry[] = [];
  let removed = 0;
  for (const entry of mergeEntries(head, known)) {
    const isOld = entry.version <= head.version - RETAINED_VERSIONS;
    if (
      isOld &&
      removed < MAX_REMOVALS_PER_APPLY &&
      (await removeBundle(platform, entry.operationId))
    ) {
      removed += 1;
    } else {
      kept.push(entry);
    }
  }
  const value: BundleIndex = { bundles: kept };
  const written = stored
    ? await platform.update(INDEX_NAME, value, stored.version)
    : await platform.create(INDEX_NAME, value);
  if (written.isErr() && written.error.kind !== 'conflict') return err(written.error);
  return ok(removed);
}
