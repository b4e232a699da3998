/** Returns the items in random order (Fisher-Yates). */
export function toShuffled<Item>(
  items: readonly Item[],
  random: () => number = Math.random,
): Item[] {
  const copy = [...items];
  for (let last = copy.length - 1; last > 0; last -= 1) {
    const index = Math.floor(random() * (last + 1));
    [copy[last], copy[index]] = [copy[index] as Item, copy[last] as Item];
  }
  return copy;
}

/** Returns up to `count` different items at random. */
export function chooseRandom<Item>(
  items: readonly Item[],
  count: number,
  random: () => number = Math.random,
): Item[] {
  return toShuffled(items, random).slice(0, count);
}
