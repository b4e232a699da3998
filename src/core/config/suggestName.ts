/** Suggestions for misspelt names. */

/** One edit per three letters: `timeoutMS` and `slot` get a suggestion, unrelated words do not. */
const LETTERS_PER_EDIT = 3;

/** Counts the insertions, deletions, substitutions and swaps of adjacent letters from a to b. */
function computeEditDistance(a: string, b: string): number {
  let previousRow: number[] = [];
  let currentRow = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i += 1) {
    const nextRow = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const change = (currentRow[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      const isSwap = i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1];
      const swap = isSwap ? (previousRow[j - 2] ?? 0) + 1 : change;
      nextRow.push(Math.min(change, swap, (currentRow[j] ?? 0) + 1, (nextRow[j - 1] ?? 0) + 1));
    }
    previousRow = currentRow;
    currentRow = nextRow;
  }
  return currentRow[b.length] ?? 0;
}

/** Returns the known name with the smallest edit distance, or undefined when none is close. */
export function suggestName(name: string, known: readonly string[]): string | undefined {
  const maxDistance = Math.max(1, Math.floor(name.length / LETTERS_PER_EDIT));
  let best: string | undefined;
  let bestDistance = maxDistance + 1;
  for (const candidate of known) {
    if (Math.abs(candidate.length - name.length) > maxDistance) continue;
    const distance = computeEditDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}
