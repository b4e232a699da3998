/** Violation counts with examples, shared by both soaks. */

/** Maximum number of stored examples for each violation. */
const MAX_EXAMPLES = 10;

/** Counts violations by name. */
export class ViolationCounts<Name extends string> {
  readonly #counts = new Map<Name, number>();

  readonly #examples = new Map<Name, string[]>();

  add(name: Name, example: string): void {
    this.#counts.set(name, this.getCount(name) + 1);
    const examples = this.#examples.get(name) ?? [];
    if (examples.length < MAX_EXAMPLES) examples.push(example);
    this.#examples.set(name, examples);
  }

  getCount(name: Name): number {
    return this.#counts.get(name) ?? 0;
  }

  hasViolations(): boolean {
    return this.#counts.size > 0;
  }

  /** Formats one line for each of `names`, followed by its examples. */
  format(names: readonly Name[]): string {
    const width = Math.max(...names.map((name) => name.length));
    const lines = names.flatMap((name) => [
      `${name.padEnd(width)}${String(this.getCount(name)).padStart(7)}`,
      ...(this.#examples.get(name) ?? []).map((example) => `    ${example}`),
    ]);
    return lines.join('\n');
  }
}

/** Formats counts by name in descending order. */
export function formatCounts(counts: ReadonlyMap<string | number, number>): string {
  return [...counts]
    .sort(([, one], [, other]) => other - one)
    .map(([name, count]) => `${name}=${count}`)
    .join(', ');
}
