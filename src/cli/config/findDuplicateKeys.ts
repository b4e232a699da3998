/** Detection of duplicate keys in JSON objects. */
import type { Node } from 'jsonc-parser';
import type { TextFault } from './workingFiles.js';

/** Lists duplicate keys of objects, since JSON parsers differ in which of the values they use. */
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
      const message = `duplicate key "${key}"`;
      faults.push({ offset: keyNode.offset, path: inner, message, expected: 'a unique key' });
    }
    seen.add(key);
    faults.push(...findDuplicateKeys(valueNode, inner));
  }
  return faults;
}
