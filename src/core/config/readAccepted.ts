/** The accepted version with its content. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Head } from '../../generated/types.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';
import { hasDigest } from '../../utils/digest.js';
import { readBundle, readHead } from './readHead.js';
import type { ConfigContent } from './renderSite.js';

/** Content before the first accepted version. */
export const EMPTY_CONTENT: ConfigContent = { base: {}, overlays: {} };

/** The head as it was read and the content that it names. */
export interface AcceptedConfig {
  readonly head: PlatformObject<Head> | undefined;
  readonly content: ConfigContent;
}

/** Reads the content that a head names; errors when it is missing or has another digest. */
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
    const message = `bundle ${operationId} of version ${version} has another digest`;
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
