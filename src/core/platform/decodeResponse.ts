/** Decoding of platform responses; a response of an unexpected form is an error. */
import { err, ok, Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { PlatformObject, WatchResponse } from '../../types/interfaces.js';
import type { RequestContext } from './platformErrors.js';

function buildFormatError(context: RequestContext, message: string): StepError {
  // A write whose response is invalid may have taken effect.
  return buildError(
    context.isWrite ? 'answer-lost' : 'invalid',
    context.step,
    context.peer,
    message,
  );
}

function isObject(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function parseJson(text: string, context: RequestContext): Result<unknown, StepError> {
  return Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    (thrown) => buildFormatError(context, `response is not JSON: ${(thrown as Error).message}`),
  )();
}

/** Decodes the object version from an entity tag. */
export function decodeVersion(
  etag: string | undefined,
  context: RequestContext,
): Result<number, StepError> {
  const match = /^"(\d{1,15})"$/.exec(etag ?? '');
  if (!match) return err(buildFormatError(context, `bad ETag ${etag ?? '(none)'}`));
  return ok(Number(match[1]));
}

/** Decodes the response to a read. */
export function decodeObject<Value>(
  name: string,
  text: string,
  etag: string | undefined,
  context: RequestContext,
): Result<PlatformObject<Value>, StepError> {
  return decodeVersion(etag, context).andThen((version) =>
    parseJson(text, context).map((value) => ({ name, version, value: value as Value })),
  );
}

function decodeEntries(
  kind: string,
  entries: unknown,
  context: RequestContext,
): Result<WatchResponse['changes'], StepError> {
  if (!Array.isArray(entries)) {
    return err(buildFormatError(context, 'response has no list of objects'));
  }
  const decoded = [];
  for (const entry of entries as unknown[]) {
    if (
      !isObject(entry) ||
      typeof entry.name !== 'string' ||
      !Number.isSafeInteger(entry.version)
    ) {
      return err(buildFormatError(context, 'response has an object without name or version'));
    }
    // Names may be given with or without the kind as a prefix.
    const name = entry.name.startsWith(`${kind}/`) ? entry.name : `${kind}/${entry.name}`;
    const version = entry.version as number;
    decoded.push({ name, version, value: entry.value, deleted: entry.deleted === true });
  }
  return ok(decoded);
}

/** Decodes the response to a list. */
export function decodeList<Value>(
  kind: string,
  text: string,
  context: RequestContext,
): Result<readonly PlatformObject<Value>[], StepError> {
  return parseJson(text, context)
    .andThen((body) => decodeEntries(kind, isObject(body) ? body.objects : undefined, context))
    .map((entries) =>
      entries.map(({ name, version, value }) => ({ name, version, value: value as Value })),
    );
}

/** Decodes the response to a watch. */
export function decodeWatch(
  name: string,
  text: string,
  context: RequestContext,
): Result<WatchResponse, StepError> {
  return parseJson(text, context).andThen((body) => {
    if (!isObject(body) || !Number.isSafeInteger(body.version)) {
      return err(buildFormatError(context, 'response to a watch has no version'));
    }
    const [kind = name] = name.split('/');
    const version = body.version as number;
    return decodeEntries(kind, body.changes, context).map((changes) => ({ version, changes }));
  });
}
