/** Reads of the head and of bundles, validated against their schemas. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, Head } from '../../generated/types.js';
import { validateBundle, validateHead, type Validator } from '../../generated/validators.js';
import type { PlatformClient, PlatformObject } from '../../types/interfaces.js';

/** Name of the platform object that refers to the accepted version. */
export const HEAD_NAME = 'config/head';

/** Returns the name of the platform object that holds an operation's bundle. */
export function formatBundleName(operationId: string): string {
  return `bundles/${operationId}`;
}

function parseValue<Value>(
  name: string,
  value: unknown,
  validate: Validator,
): Result<Value, StepError> {
  if (validate(value)) return ok(value as Value);
  const [fault] = validate.errors ?? [];
  const message = `${name} is malformed: ${fault?.instancePath ?? ''} ${fault?.message ?? ''}`;
  return err(buildError('invalid', 'config.read', 'platform', message));
}

/** Validates a value of the head object. */
export function parseHead(value: unknown): Result<Head, StepError> {
  return parseValue<Head>(HEAD_NAME, value, validateHead);
}

/** Reads the head; undefined before the first accepted version. */
export async function readHead(
  platform: Pick<PlatformClient, 'read'>,
): Promise<Result<PlatformObject<Head> | undefined, StepError>> {
  const found = await platform.read<unknown>(HEAD_NAME);
  if (found.isErr()) return err(found.error);
  const object = found.value;
  if (!object) return ok(undefined);
  return parseHead(object.value).map((value) => ({ ...object, value }));
}

/** Reads the bundle of an operation; undefined when it does not exist or was removed. */
export async function readBundle(
  platform: PlatformClient,
  operationId: string,
): Promise<Result<Bundle | undefined, StepError>> {
  const name = formatBundleName(operationId);
  const found = await platform.read<unknown>(name);
  if (found.isErr()) return err(found.error);
  if (!found.value) return ok(undefined);
  return parseValue<Bundle>(name, found.value.value, validateBundle);
}
