/** Reads of the head and of bundles, with their form verified. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, Head } from '../../generated/types.js';
import { validateBundle, validateHead, type Validator } from '../../generated/validators.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';

/** Name of the platform object that names the accepted version. */
export const HEAD_NAME = 'config/head';

/** Returns the name of the platform object of an operation's bundle. */
export function formatBundleName(operationId: string): string {
  return `bundles/${operationId}`;
}

async function readValid<Value>(
  platform: PlatformClient,
  name: string,
  validate: Validator,
): Promise<Result<PlatformObject<Value> | undefined, StepError>> {
  const found = await platform.read<Value>(name);
  if (found.isErr() || found.value === undefined || validate(found.value.value)) return found;
  const [fault] = validate.errors ?? [];
  const message = `${name} is malformed: ${fault?.instancePath ?? ''} ${fault?.message ?? ''}`;
  return err(buildError('invalid', 'config.read', 'platform', message));
}

/** Reads the head; undefined before the first accepted version. */
export function readHead(
  platform: PlatformClient,
): Promise<Result<PlatformObject<Head> | undefined, StepError>> {
  return readValid<Head>(platform, HEAD_NAME, validateHead);
}

/** Reads the bundle of an operation; undefined when there is none (any more). */
export async function readBundle(
  platform: PlatformClient,
  operationId: string,
): Promise<Result<Bundle | undefined, StepError>> {
  const found = await readValid<Bundle>(platform, formatBundleName(operationId), validateBundle);
  if (found.isErr()) return err(found.error);
  return ok(found.value?.value);
}
