/** The check of the working files, with the position of every fault. */
import { findNodeAtLocation, type Node } from 'jsonc-parser';
import { buildBundle, NO_PARENT } from '../../core/config/buildBundle.js';
import { checkConfig, checkLayers } from '../../core/config/checkConfig.js';
import { formatPath, type ConfigFault, type JsonPath } from '../../core/config/configFault.js';
import type { ConfigContent } from '../../core/config/renderSite.js';
import { MAX_VALUE_BYTES } from '../../core/platform/limits.js';
import { locateOffset } from '../../utils/locateOffset.js';
import { formatFileName, getContent, type WorkingFile, type WorkingFiles } from './workingFiles.js';

/** One fault with its place; line and column count from 1. */
export interface FileFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly path: string;
  readonly message: string;
  readonly expected: string;
}

/** Formats a fault as one line that editors can jump to. */
export function formatFileFault(fault: FileFault): string {
  const { file, line, column, path, message, expected } = fault;
  return `${file}:${line}:${column}: ${path}: ${message}; expected ${expected}`;
}

/** Returns the offset of a path, or of the nearest enclosing value that the file states. */
function findOffset(tree: Node | undefined, path: JsonPath, atKey: boolean): number {
  if (!tree) return 0;
  for (let { length } = path; length >= 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (!node) continue;
    const { parent, offset } = node;
    const [key] = (parent?.type === 'property' && parent.children) || [];
    return atKey && key ? key.offset : offset;
  }
  return 0;
}

function locateFault(fault: ConfigFault, { dir, files }: WorkingFiles): FileFault {
  const source = files.find(({ site }) => site === fault.site);
  const offset = findOffset(source?.tree, fault.path, fault.atKey);
  return {
    file: source?.file ?? formatFileName(dir, fault.site),
    ...locateOffset(source?.text ?? '', offset),
    path: formatPath(fault.path),
    message: fault.message,
    expected: fault.expected,
  };
}

function listTextFaults({ file, text, faults }: WorkingFile): FileFault[] {
  return faults.map(({ offset, path, message, expected }) => ({
    file,
    ...locateOffset(text, offset),
    path: formatPath(path),
    message,
    expected,
  }));
}

/** Returns the size of the bundle of a content as the platform counts it, in bytes. */
function measureBundleBytes(content: ConfigContent): number {
  // The widest version and author, so that what passes here is not refused at apply.
  const parent = { ...NO_PARENT, version: Number.MAX_SAFE_INTEGER - 1, digest: '0'.repeat(64) };
  const bundle = buildBundle(content, { ...parent, operationId: '0'.repeat(36) }, 'x'.repeat(256));
  return Buffer.byteLength(JSON.stringify(bundle));
}

function checkSize(content: ConfigContent): ConfigFault[] {
  const bytes = measureBundleBytes(content);
  if (bytes <= MAX_VALUE_BYTES) return [];
  const message = `base and overlays make a bundle of ${bytes} bytes`;
  const expected = `at most ${MAX_VALUE_BYTES} bytes, the platform's limit`;
  return [{ site: '', path: [], atKey: false, message, expected }];
}

/** Lists every fault of a content that does not stem from the syntax of a file. */
export function checkContent(content: ConfigContent): ConfigFault[] {
  return [...checkConfig(content).faults, ...checkSize(content)];
}

/** Lists every fault of the working files, in the order of files, lines and columns. */
export function checkFiles(working: WorkingFiles): FileFault[] {
  const content = getContent(working);
  const base = working.files.find(({ site }) => site === '');
  // Without a readable base, rendered sites would only show faults that follow from that.
  const found = base?.faults.length === 0 ? checkContent(content) : checkLayers(content);
  const faults = [
    ...working.files.flatMap(listTextFaults),
    ...found.map((fault) => locateFault(fault, working)),
  ];
  const order = working.files.map(({ file }) => file);
  return faults.sort(
    (a, b) =>
      order.indexOf(a.file) - order.indexOf(b.file) || a.line - b.line || a.column - b.column,
  );
}
