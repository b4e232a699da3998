import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, Head } from '../../generated/types.js';
import { validateHead } from '../../generated/validators.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { verifyBundle } from './verify.js';

/** Name of the object that names the accepted version. */
export const HEAD_NAME = 'config/head';

/** A head with the object version from which a watch continues. */
export interface ReadHead {
  readonly head: Head | undefined;
  readonly objectVersion: number;
}

/** Checks a value of the head object. */
export function parseHead(value: unknown): Result<Head, StepError> {
  if (validateHead(value)) return ok(value as Head);
  const fault = validateHead.errors?.[0];
  const reason = `not a head: ${fault?.instancePath ?? ''} ${fault?.message ?? ''}`;
  return err(buildError('invalid', 'config.head', 'platform', reason));
}

/** Reads the head; `head` is undefined when nothing was ever accepted. */
export async function readHead(platform: PlatformClient): Promise<Result<ReadHead, StepError>> {
  const object = await platform.read<unknown>(HEAD_NAME);
  if (object.isErr()) return err(object.error);
  if (!object.value) return ok({ head: undefined, objectVersion: 0 });
  const { value, version } = object.value;
  return parseHead(value).map((head) => ({ head, objectVersion: version }));
}

/** Reads the bundle that a head names. Errors: `mismatch` when it is another one. */
export async function readBundle(
  platform: PlatformClient,
  { version, digest, operationId }: Head,
): Promise<Result<Bundle, StepError>> {
  const name = `bundles/${operationId}`;
  const object = await platform.read<unknown>(name);
  if (object.isErr()) return err(object.error);
  if (!object.value) return err(buildError('not-found', 'config.read', 'platform', name));
  const verified = verifyBundle(object.value.value, 'platform');
  if (verified.isErr()) return verified;
  const bundle = verified.value;
  if (bundle.version === version && bundle.digest === digest) return ok(bundle);
  const reason = `${name} holds version ${bundle.version}, the head names ${version}`;
  return err(buildError('mismatch', 'config.read', 'platform', reason));
}
