/**
 * Index of holdings by the power of two of their size. A change of size costs a constant time, and
 * so does the search for one of the largest.
 */

/** Holdings of 2^47 bytes and more share the last class. */
const CLASS_COUNT = 48;

/** Returns the class of a size; sizes of one class differ by less than a factor of two. */
export function computeSizeClass(bytes: number): number {
  return bytes < 1 ? 0 : Math.min(CLASS_COUNT - 1, Math.floor(Math.log2(bytes)));
}

/** Entries of one class are kept in the order in which they entered it. */
export class SizeClasses<Entry> {
  private readonly classes = Array.from({ length: CLASS_COUNT }, () => new Set<Entry>());

  add(entry: Entry, sizeClass: number): void {
    this.classes[sizeClass]!.add(entry);
  }

  remove(entry: Entry, sizeClass: number): void {
    this.classes[sizeClass]!.delete(entry);
  }

  /** Returns the entry that has been in the largest class for the longest time. */
  findLargest(): Entry | undefined {
    for (let sizeClass = CLASS_COUNT - 1; sizeClass >= 0; sizeClass -= 1) {
      const entries = this.classes[sizeClass]!;
      if (entries.size > 0) return entries.values().next().value;
    }
    return undefined;
  }
}
