/** Three-way merge of configurations by JSON path. */
import { isDeepStrictEqual } from 'node:util';
import { err, ok, type Result } from 'neverthrow';
import { getOwnValue, isJsonObject, listKeys } from './diffContent.js';
import type { ConfigContent } from './renderSite.js';

/** Different edits of both sides at one path; undefined stands for an absent value. */
export interface MergeConflict {
  /** Begins with `base`, or with `overlays` and the site. */
  readonly path: readonly string[];
  readonly parent: unknown;
  readonly ours: unknown;
  readonly theirs: unknown;
}

function mergeValue(
  parent: unknown,
  ours: unknown,
  theirs: unknown,
  path: readonly string[],
  conflicts: MergeConflict[],
): unknown {
  if (isDeepStrictEqual(ours, theirs)) return ours;
  if (isDeepStrictEqual(parent, ours)) return theirs;
  if (isDeepStrictEqual(parent, theirs)) return ours;
  const isMergeable = parent === undefined || isJsonObject(parent);
  if (!isMergeable || !isJsonObject(ours) || !isJsonObject(theirs)) {
    conflicts.push({ path, parent, ours, theirs });
    return ours;
  }
  const entries = listKeys(ours, theirs).map((key) => {
    const values = [parent, ours, theirs].map((value) => getOwnValue(value, key));
    const [inParent, inOurs, inTheirs] = values;
    return [key, mergeValue(inParent, inOurs, inTheirs, [...path, key], conflicts)] as const;
  });
  return Object.fromEntries(entries.filter(([, value]) => value !== undefined));
}

/**
 * Merges two edits of a common parent. Edits at different paths are both kept, and so is an edit
 * that both sides made. Different edits of one path, and a deletion that contains the path of an
 * edit, are listed as conflicts.
 */
export function mergeThreeWay(
  parent: ConfigContent,
  ours: ConfigContent,
  theirs: ConfigContent,
): Result<ConfigContent, readonly MergeConflict[]> {
  const conflicts: MergeConflict[] = [];
  const merged = mergeValue(parent, ours, theirs, [], conflicts);
  return conflicts.length > 0 ? err(conflicts) : ok(merged as ConfigContent);
}
