/** Differences between two JSON values by path. */
import { isDeepStrictEqual } from 'node:util';
import type { JsonPath } from './configFault.js';
import type { JsonObject } from './renderSite.js';

/** One difference; `before` or `after` is undefined when the path exists on one side only. */
export interface JsonChange {
  readonly path: JsonPath;
  readonly before: unknown;
  readonly after: unknown;
}

/** Returns true for JSON objects, which merge by key; arrays and scalars are replaced. */
export function isJsonObject(value: unknown): value is JsonObject {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

/** Returns the value of an own key; undefined, which JSON cannot express, means absent. */
export function getOwnValue(value: unknown, key: string): unknown {
  return isJsonObject(value) && Object.hasOwn(value, key) ? value[key] : undefined;
}

/** Lists the distinct keys of two values, those of the first value first. */
export function listKeys(a: unknown, b: unknown): string[] {
  const keys = [a, b].flatMap((value) => (isJsonObject(value) ? Object.keys(value) : []));
  return [...new Set(keys)];
}

/** Lists the differences between two values, down to arrays and scalars. */
export function diffContent(
  before: unknown,
  after: unknown,
  path: readonly string[] = [],
): JsonChange[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (!isJsonObject(before) || !isJsonObject(after)) return [{ path, before, after }];
  return listKeys(before, after).flatMap((key) =>
    diffContent(getOwnValue(before, key), getOwnValue(after, key), [...path, key]),
  );
}
