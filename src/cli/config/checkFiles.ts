/** Validation of the working files, with the position of every fault. */
import { findNodeAtLocation, type Node } from 'jsonc-parser';
import {
  buildBundle,
  MAX_AUTHOR_LENGTH,
  type VersionReference,
} from '../../core/config/buildBundle.js';
import { checkConfig, checkLayers } from '../../core/config/checkConfig.js';
import { formatPath, type ConfigFault, type JsonPath } from '../../core/config/configFault.js';
import type { ConfigContent } from '../../core/config/renderSite.js';
import { MAX_VALUE_BYTES } from '../../core/platform/limits.js';
import { locateOffset } from '../../utils/locateOffset.js';
import { formatFileName, getContent, type WorkingFile, type WorkingFiles } from './workingFiles.js';

/** SHA-256 in hexadecimal digits. */
const DIGEST_LENGTH = 64;
/** UUID with hyphens. */
const OPERATION_ID_LENGTH = 36;

/** One validation fault with its position; line and column are 1-based. */
export interface FileFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly path: string;
  readonly message: string;
  readonly expected: string;
}

/** Formats a fault as one line that begins with `file:line:column`. */
export function formatFileFault(fault: FileFault): string {
  const { file, line, column, path, message, expected } = fault;
  return `${file}:${line}:${column}: ${path}: ${message}; expected ${expected}`;
}

/** Returns the offset of a path, or of the nearest enclosing value in the file. */
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

/** Returns the maximum size in bytes of a bundle with this content, serialized as JSON. */
function measureBundleBytes(content: ConfigContent): number {
  // Uses the longest version and author, so that the platform accepts what passes this check.
  const parent: VersionReference = {
    version: Number.MAX_SAFE_INTEGER - 1,
    digest: '0'.repeat(DIGEST_LENGTH),
    operationId: '0'.repeat(OPERATION_ID_LENGTH),
  };
  const bundle = buildBundle(content, parent, 'x'.repeat(MAX_AUTHOR_LENGTH));
  return Buffer.byteLength(JSON.stringify(bundle));
}

function checkSize(content: ConfigContent): ConfigFault[] {
  const bytes = measureBundleBytes(content);
  if (bytes <= MAX_VALUE_BYTES) return [];
  const message = `the base and overlays result in a bundle of ${bytes} bytes`;
  const expected = `at most ${MAX_VALUE_BYTES} bytes, the platform's limit`;
  return [{ site: '', path: [], atKey: false, message, expected }];
}

/** Lists every fault of a content except syntax faults of its files. */
export function checkContent(content: ConfigContent): ConfigFault[] {
  return [...checkConfig(content).faults, ...checkSize(content)];
}

/** Lists every fault of the working files, in the order of files, lines and columns. */
export function checkFiles(working: WorkingFiles): FileFault[] {
  const content = getContent(working);
  const base = working.files.find(({ site }) => site === '');
  // With an invalid base, faults of rendered sites would only be consequences of that.
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
