/** Values that another writer may leave where the system expects its own. */

/** Returns lists nested `depth` deep; `JSON.stringify` overflows the stack at some thousands. */
export function buildNested(depth: number): unknown {
  let value: unknown = 1;
  for (let level = 0; level < depth; level += 1) value = [value];
  return value;
}
