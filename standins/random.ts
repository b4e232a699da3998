/** Seeded random numbers, so that a run can be repeated. */

const MODULUS = 2 ** 31 - 1;
const MULTIPLIER = 48_271;

/** Returns a generator of numbers in [0, 1): Park and Miller's minimal standard generator. */
export function createRandom(seed: number): () => number {
  let state = (Math.abs(Math.trunc(seed)) % (MODULUS - 1)) + 1;
  const draw = () => {
    state = (state * MULTIPLIER) % MODULUS;
    return state / MODULUS;
  };
  // The first draws of small neighbouring seeds are close to each other.
  draw();
  draw();
  return draw;
}

/** Picks one entry; undefined for an empty list. */
export function chooseOne<Item>(items: readonly Item[], random: () => number): Item | undefined {
  return items[Math.floor(random() * items.length)];
}
