/** Detection of JSON values without a canonical form (RFC 8785), for which no digest exists. */
import type { Node } from 'jsonc-parser';
import type { TextFault } from './workingFiles.js';

const LONE_SURROGATE = /\p{Surrogate}/u;

function describeValue(value: unknown): Pick<TextFault, 'message' | 'expected'> | undefined {
  if (typeof value === 'string' && LONE_SURROGATE.test(value)) {
    return { message: 'the string contains an unpaired surrogate', expected: 'valid Unicode text' };
  }
  if (typeof value === 'number' && !Number.isFinite(value)) {
    return { message: 'the number is too large', expected: 'a number below 1.8e308' };
  }
  return undefined;
}

/** Lists strings, keys and numbers without a canonical form. */
export function findNonCanonicalValues(
  node: Node,
  path: readonly (string | number)[] = [],
): TextFault[] {
  const fault = describeValue(node.value);
  const faults: TextFault[] = fault ? [{ ...fault, offset: node.offset, path }] : [];
  for (const [index, child] of (node.children ?? []).entries()) {
    // The children of a property are its key and its value; both have the path of the key.
    const key = child.type === 'property' ? String(child.children?.[0]?.value) : index;
    const inner = node.type === 'property' ? path : [...path, key];
    faults.push(...findNonCanonicalValues(child, inner));
  }
  return faults;
}
