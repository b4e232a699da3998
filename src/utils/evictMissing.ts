/** Removes the entries of a map whose keys are not in `known`. */
export function evictMissing<Key>(map: Map<Key, unknown>, known: { has(key: Key): boolean }): void {
  for (const key of map.keys()) {
    if (!known.has(key)) map.delete(key);
  }
}
