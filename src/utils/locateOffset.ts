/** Positions in a text. */

/** A position in a text; both numbers count from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Converts a character offset into a line and a column. */
export function locateOffset(text: string, offset: number): TextPosition {
  const before = text.slice(0, offset);
  const lastNewline = before.lastIndexOf('\n');
  return { line: before.split('\n').length, column: offset - lastNewline };
}
