/** Values that another writer may leave where the system expects its own. */

/** Returns lists nested `depth` deep; `JSON.stringify` overflows the stack at some thousands. */
export function buildNested(depth: number): unknown {
  let value: unknown = 1;
  for (let level = 0; level < depth; level += 1) value = [value];
  return value;
}

/** JSON text that is sent as it is, for values that `JSON.stringify` cannot write. */
export class RawJson {
  constructor(readonly text: string) {}
}

/** Encodes a value as JSON; the texts of `RawJson` are inserted unchanged. */
export function encodeWithRawJson(value: unknown): string {
  const texts: string[] = [];
  const encoded = JSON.stringify(value, (_key, part: unknown) => {
    if (!(part instanceof RawJson)) return part;
    texts.push(part.text);
    return `@raw:${texts.length - 1}@`;
  });
  return encoded.replace(/"@raw:(\d+)@"/g, (_match, index: string) => texts[Number(index)]!);
}

/** Returns the text of objects nested `depth` deep under one key. */
export function formatNested(depth: number): RawJson {
  return new RawJson(`${'{"Object":'.repeat(depth)}1${'}'.repeat(depth)}`);
}
