/** Decoding of platform responses; a response that is not as agreed is an error, never a guess. */
import { err, ok, Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { PlatformObject, WatchResponse } from '../../types/interfaces.js';
import type { CallPlace } from './platformErrors.js';

function buildFormError(place: CallPlace, message: string): StepError {
  // A write whose response makes no sense may have taken effect.
  return buildError(place.isWrite ? 'answer-lost' : 'invalid', place.step, place.peer, message);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function parseText(text: string, place: CallPlace): Result<unknown, StepError> {
  return Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    (thrown) => buildFormError(place, `response is not JSON: ${(thrown as Error).message}`),
  )();
}

/** Decodes the object version in an entity tag. */
export function decodeVersion(
  etag: string | undefined,
  place: CallPlace,
): Result<number, StepError> {
  const match = /^"(\d{1,15})"$/.exec(etag ?? '');
  if (!match) return err(buildFormError(place, `bad ETag ${etag ?? '(none)'}`));
  return ok(Number(match[1]));
}

/** Decodes the response to a read. */
export function decodeObject<Value>(
  name: string,
  text: string,
  etag: string | undefined,
  place: CallPlace,
): Result<PlatformObject<Value>, StepError> {
  return decodeVersion(etag, place).andThen((version) =>
    parseText(text, place).map((value) => ({ name, version, value: value as Value })),
  );
}

function decodeEntries(
  kind: string,
  entries: unknown,
  place: CallPlace,
): Result<WatchResponse['changes'], StepError> {
  if (!Array.isArray(entries)) return err(buildFormError(place, 'response has no list of objects'));
  const decoded = [];
  for (const entry of entries as unknown[]) {
    if (
      !isRecord(entry) ||
      typeof entry.name !== 'string' ||
      !Number.isSafeInteger(entry.version)
    ) {
      return err(buildFormError(place, 'response has an object without name or version'));
    }
    // Lists may give names with or without their kind.
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
  place: CallPlace,
): Result<readonly PlatformObject<Value>[], StepError> {
  return parseText(text, place)
    .andThen((body) => decodeEntries(kind, isRecord(body) ? body.objects : undefined, place))
    .map((entries) =>
      entries.map(({ name, version, value }) => ({ name, version, value: value as Value })),
    );
}

/** Decodes the response to a watch. */
export function decodeWatch(
  name: string,
  text: string,
  place: CallPlace,
): Result<WatchResponse, StepError> {
  return parseText(text, place).andThen((body) => {
    if (!isRecord(body) || !Number.isSafeInteger(body.version)) {
      return err(buildFormError(place, 'response to a watch has no version'));
    }
    const [kind = name] = name.split('/');
    const version = body.version as number;
    return decodeEntries(kind, body.changes, place).map((changes) => ({ version, changes }));
  });
}
