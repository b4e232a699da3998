/** Finds keys that stand twice in a JSON object. */
import type { Node } from 'jsonc-parser';
import type { TextFault } from './workingFiles.js';

/** Lists keys that an object states twice: JSON readers differ in which of the values they take. */
export function findDuplicateKeys(
  node: Node,
  path: readonly (string | number)[] = [],
): TextFault[] {
  const faults: TextFault[] = [];
  const seen = new Set<string>();
  for (const [index, child] of (node.children ?? []).entries()) {
    if (node.type !== 'object') {
      faults.push(...findDuplicateKeys(child, [...path, index]));
      continue;
    }
    const [keyNode, valueNode] = child.children ?? [];
    if (!keyNode || !valueNode) continue;
    const key = String(keyNode.value);
    const inner = [...path, key];
    if (seen.has(key)) {
      const message = `key "${key}" is stated twice`;
      faults.push({ offset: keyNode.offset, path: inner, message, expected: 'one of the two' });
    }
    seen.add(key);
    faults.push(...findDuplicateKeys(valueNode, inner));
  }
  return faults;
}
