/** Reads of the accepted version with its content. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Head } from '../../generated/types.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';
import { hasDigest } from '../../utils/digest.js';
import { readBundle, readHead } from './readHead.js';
import type { ConfigContent } from './renderSite.js';

/** Content before any version is accepted. */
export const EMPTY_CONTENT: ConfigContent = { base: {}, overlays: {} };

/** The head and the content of the bundle that it refers to. */
export interface AcceptedConfig {
  readonly head: PlatformObject<Head> | undefined;
  readonly content: ConfigContent;
}

/** Reads the content of a head. Errors: `not-found`, or `mismatch` for a different digest. */
async function readContent(
  platform: PlatformClient,
  head: PlatformObject<Head> | undefined,
): Promise<Result<ConfigContent, StepError>> {
  if (!head) return ok(EMPTY_CONTENT);
  const { operationId, digest, version } = head.value;
  const bundle = await readBundle(platform, operationId);
  if (bundle.isErr()) return err(bundle.error);
  if (bundle.value === undefined) {
    const message = `bundle ${operationId} of version ${version} is missing`;
    return err(buildError('not-found', 'config.read', 'platform', message));
  }
  const { base, overlays } = bundle.value;
  if (!hasDigest({ base, overlays }, digest)) {
    const message = `bundle ${operationId} does not match the digest of version ${version}`;
    return err(buildError('mismatch', 'config.read', 'platform', message));
  }
  return ok({ base, overlays });
}

/** Reads the head and its content. */
export async function readAccepted(
  platform: PlatformClient,
): Promise<Result<AcceptedConfig, StepError>> {
  const head = await readHead(platform);
  if (head.isErr()) return err(head.error);
  const content = await readContent(platform, head.value);
  return content.map((value) => ({ head: head.value, content: value }));
}
