/** Installs the accepted version from the platform, or the latest one before it that compiles. */
import { ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { Head } from '../../generated/types.js';
import type { DistributionContext } from './context.js';
import { readHeadBundle } from './readHeadBundle.js';
import { toTag } from './verify.js';

/**
 * Installs the version that the head names. When this node refuses it, the versions before it are
 * tried, newest first: the highest version that compiles is the one that running nodes enforce.
 * Errors: those of the bundle's read, which is logged.
 */
export async function installAccepted(
  { store, platform, logger }: DistributionContext,
  head: Head,
): Promise<Result<void, StepError>> {
  const earlier = [...head.recent].sort((one, other) => other.version - one.version);
  for (const named of [head, ...earlier]) {
    if (named.version <= store.getTag().version) break;
    if (named.version > head.version || store.isRefused(toTag(named))) continue;
    const bundle = await readHeadBundle(platform, named);
    if (bundle.isErr()) {
      const { step, peer, message } = bundle.error;
      logger.warn('config-bundle-not-read', {
        step,
        peer,
        version: named.version,
        reason: message,
      });
      return bundle.map(() => undefined);
    }
    if (store.install(bundle.value, 'platform').isOk() || !store.isRefused(toTag(named))) break;
  }
  return ok(undefined);
}
