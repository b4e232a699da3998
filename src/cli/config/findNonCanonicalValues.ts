/** Finds values that JSON text can state and a digest cannot cover. */
import type { Node } from 'jsonc-parser';
import type { TextFault } from './workingFiles.js';

const LONE_SURROGATE = /\p{Surrogate}/u;

function describeValue(value: unknown): Pick<TextFault, 'message' | 'expected'> | undefined {
  if (typeof value === 'string' && LONE_SURROGATE.test(value)) {
    return { message: 'the text holds half of a surrogate pair', expected: 'whole characters' };
  }
  if (typeof value === 'number' && !Number.isFinite(value)) {
    return { message: 'the number is too large', expected: 'a number below 1.8e308' };
  }
  return undefined;
}

/** Lists texts, keys and numbers without a canonical form (RFC 8785). */
export function findNonCanonicalValues(
  node: Node,
  path: readonly (string | number)[] = [],
): TextFault[] {
  const fault = describeValue(node.value);
  const faults: TextFault[] = fault ? [{ ...fault, offset: node.offset, path }] : [];
  for (const [index, child] of (node.children ?? []).entries()) {
    // A property has its key and its value as children; both belong to the path of the key.
    const key = child.type === 'property' ? String(child.children?.[0]?.value) : index;
    const inner = node.type === 'property' ? path : [...path, key];
    faults.push(...findNonCanonicalValues(child, inner));
  }
  return faults;
}
