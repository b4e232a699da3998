/** Returns the items in random order (Fisher-Yates). */
export function toShuffled<Item>(
  items: readonly Item[],
  random: () => number = Math.random,
): Item[] {
  const shuffled = [...items];
  for (let lastIndex = shuffled.length - 1; lastIndex > 0; lastIndex -= 1) {
    const swapIndex = Math.floor(random() * (lastIndex + 1));
    [shuffled[lastIndex], shuffled[swapIndex]] = [
      shuffled[swapIndex] as Item,
      shuffled[lastIndex] as Item,
    ];
  }
  return shuffled;
}

/** Returns up to `count` items chosen at random without replacement. */
export function chooseRandom<Item>(
  items: readonly Item[],
  count: number,
  random: () => number = Math.random,
): Item[] {
  return toShuffled(items, random).slice(0, count);
}
