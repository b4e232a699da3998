/** Edits of JSON with comments that preserve comments and formatting of unchanged parts. */
import { isDeepStrictEqual } from 'node:util';
import { applyEdits, modify } from 'jsonc-parser';
import { diffContent, type JsonChange } from '../../core/config/diffContent.js';
import { getAtPath } from '../../core/config/configFault.js';
import type { JsonObject } from '../../core/config/renderSite.js';
import { parseFile } from './workingFiles.js';

const FORMATTING = { insertSpaces: true, tabSize: 2, eol: '\n' };

/** Formats a value as a new file. */
export function formatNewFile(value: JsonObject): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}

function setValue(text: string, path: readonly (string | number)[], value: unknown): string {
  const edits = modify(text, [...path], value, { formattingOptions: FORMATTING });
  return applyEdits(text, edits);
}

function applyChange(text: string, { path, after }: JsonChange): string {
  const changed = setValue(text, path, after);
  if (parseFile('', '', changed).faults.length === 0) return changed;
  // Removal of the only key leaves its trailing comma, which is a syntax error in an empty object.
  const parent = path.slice(0, -1);
  const { [String(path.at(-1))]: removed, ...rest } = getAtPath(
    parseFile('', '', text).value,
    parent,
  ) as JsonObject;
  return parent.length === 0 ? formatNewFile(rest) : setValue(text, parent, rest);
}

/** Returns `text` edited to the value `target`. */
export function editText(text: string, current: JsonObject, target: JsonObject): string {
  let edited = text;
  for (const change of diffContent(current, target)) edited = applyChange(edited, change);
  const { value, faults } = parseFile('', '', edited);
  // Correct values take precedence over comments: an inexact edit is replaced by a new file.
  const isExact = faults.length === 0 && isDeepStrictEqual(value, target);
  return isExact ? edited : formatNewFile(target);
}
