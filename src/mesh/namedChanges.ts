/** Changes of a set of named entries, such as the routes of two versions. It performs no I/O. */

/** Entries that were added or changed, and the names of those that were removed. */
export interface NamedChanges<Name, Entry extends { readonly name: Name }> {
  readonly changed: readonly Entry[];
  readonly removed: readonly Name[];
}

/** Combines two successive changes. */
export function mergeNamedChanges<Name, Entry extends { readonly name: Name }>(
  first: NamedChanges<Name, Entry>,
  second: NamedChanges<Name, Entry>,
): NamedChanges<Name, Entry> {
  const changed = new Map(first.changed.map((entry) => [entry.name, entry]));
  const removed = new Set(first.removed);
  for (const name of second.removed) {
    changed.delete(name);
    removed.add(name);
  }
  for (const entry of second.changed) {
    changed.set(entry.name, entry);
    removed.delete(entry.name);
  }
  return { changed: [...changed.values()], removed: [...removed] };
}

/** Applies changes to a map of entries by name, and returns it. */
export function applyNamedChanges<Name, Entry extends { readonly name: Name }>(
  entries: Map<Name, Entry>,
  { changed, removed }: NamedChanges<Name, Entry>,
): Map<Name, Entry> {
  for (const name of removed) entries.delete(name);
  for (const entry of changed) entries.set(entry.name, entry);
  return entries;
}
