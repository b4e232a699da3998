/** Installation of the accepted version, or of the latest earlier one that compiles. */
import { ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { Head } from '../../generated/types.js';
import type { DistributionContext } from './context.js';
import { readHeadBundle } from './readHeadBundle.js';
import { toTag } from './verify.js';

/**
 * Installs the version that the head refers to. If this node refuses it, earlier versions are
 * tried, newest first: running nodes enforce the highest version that compiles.
 * Errors: those of reading the bundle, which are logged.
 */
export async function installAccepted(
  { store, platform, logger }: DistributionContext,
  head: Head,
): Promise<Result<void, StepError>> {
  const earlier = [...head.recent].sort((first, second) => second.version - first.version);
  for (const candidate of [head, ...earlier]) {
    if (candidate.version <= store.getTag().version) break;
    if (candidate.version > head.version || store.isRefused(toTag(candidate))) continue;
    const bundle = await readHeadBundle(platform, candidate);
    if (bundle.isErr()) {
      const { step, peer, message } = bundle.error;
      logger.warn('config-bundle-not-read', {
        step,
        peer,
        version: candidate.version,
        reason: message,
      });
      return bundle.map(() => undefined);
    }
    if (store.install(bundle.value, 'platform').isOk() || !store.isRefused(toTag(candidate))) break;
  }
  return ok(undefined);
}
