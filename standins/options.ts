/** Command-line options of the stand-in programs. */
import { parseArgs } from 'node:util';

/** Reads `--name value` options; an option without a default value is required. */
export function parseOptions<Names extends string>(
  defaults: Readonly<Record<Names, string | undefined>>,
): Record<Names, string> {
  const options = Object.fromEntries(
    Object.keys(defaults).map((name) => [name, { type: 'string' as const }]),
  );
  const { values } = parseArgs({ options });
  const result: Record<string, string> = {};
  for (const [name, fallback] of Object.entries<string | undefined>(defaults)) {
    const value = values[name] ?? fallback;
    if (value === undefined) throw new RangeError(`option --${name} is required`);
    result[name] = String(value);
  }
  return result;
}
