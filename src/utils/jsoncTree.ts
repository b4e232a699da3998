/** Helpers for JSON with comments, on top of the syntax tree of jsonc-parser. */
import { getNodeValue } from 'jsonc-parser';
import type { Node } from 'jsonc-parser';

/** A position in a text; both numbers count from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Converts a character offset into a line and a column. */
export function locateOffset(text: string, offset: number): TextPosition {
  const before = text.slice(0, offset);
  const lastBreak = before.lastIndexOf('\n');
  return { line: before.split('\n').length, column: offset - lastBreak };
}

/** Returns the plain value of a syntax tree. */
export function getTreeValue(tree: Node): unknown {
  return getNodeValue(tree);
}
