/** Reading of the bundle that a head refers to. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, Head } from '../../generated/types.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { formatBundleName } from '../config/readHead.js';
import { verifyBundle } from './verify.js';

/** Reads the bundle of a head or of its history. Errors: `mismatch` for another version. */
export async function readHeadBundle(
  platform: PlatformClient,
  { version, digest, operationId }: Pick<Head, 'version' | 'digest' | 'operationId'>,
): Promise<Result<Bundle, StepError>> {
  const name = formatBundleName(operationId);
  const object = await platform.read<unknown>(name);
  if (object.isErr()) return err(object.error);
  if (!object.value) return err(buildError('not-found', 'config.read', 'platform', name));
  const verified = verifyBundle(object.value.value, 'platform');
  if (verified.isErr()) return verified;
  const bundle = verified.value;
  if (bundle.version === version && bundle.digest === digest) return ok(bundle);
  const reason = `${name} contains version ${bundle.version}, the head refers to ${version}`;
  return err(buildError('mismatch', 'config.read', 'platform', reason));
}
