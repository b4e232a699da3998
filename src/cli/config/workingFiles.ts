/** Reads of the operator's files: `base.jsonc` and `overlays/<site>.jsonc`. */
import { readFile, readdir, stat } from 'node:fs/promises';
import { join } from 'node:path';
import { getNodeValue, parseTree, type Node, type ParseError } from 'jsonc-parser';
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { ConfigContent, JsonObject } from '../../core/config/renderSite.js';
import { describeParseError } from '../../utils/describeParseError.js';
import { findDuplicateKeys } from './findDuplicateKeys.js';
import { findNonCanonicalValues } from './findNonCanonicalValues.js';

/** A fault in the text of a file, at a character offset. */
export interface TextFault {
  readonly offset: number;
  readonly path: readonly (string | number)[];
  readonly message: string;
  readonly expected: string;
}

/** A parsed file. The site is empty for the base. */
export interface WorkingFile {
  readonly site: string;
  readonly file: string;
  readonly text: string;
  readonly tree: Node | undefined;
  /** An empty object when `faults` is not empty. */
  readonly value: JsonObject;
  readonly faults: readonly TextFault[];
}

/** All files of a directory, the base first. */
export interface WorkingFiles {
  readonly dir: string;
  readonly files: readonly WorkingFile[];
}

const STEP = 'config.files';
const EXTENSION = '.jsonc';
/** Bundles contain no comments, so a file may be larger than the platform's limit. */
const MAX_FILE_BYTES = 8_388_608;

/** Returns the path of a site's file; the empty site is the base. */
export function formatFileName(dir: string, site: string): string {
  return site === '' ? join(dir, 'base.jsonc') : join(dir, 'overlays', `${site}${EXTENSION}`);
}

/** Parses the text of one file and lists every syntax fault. */
export function parseFile(site: string, file: string, text: string): WorkingFile {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  const faults: TextFault[] = errors.map(({ error, offset }) => ({
    offset,
    path: [],
    message: `syntax: ${describeParseError(error)}`,
    expected: 'JSON with comments',
  }));
  if (tree && errors.length === 0) {
    faults.push(...findDuplicateKeys(tree), ...findNonCanonicalValues(tree));
  }
  if (tree?.type !== 'object' && errors.length === 0) {
    const message = 'the file does not contain an object';
    faults.push({ offset: tree?.offset ?? 0, path: [], message, expected: 'an object { ... }' });
  }
  // Objects of the tree have no prototype; the copy has one, which strict comparisons require.
  const value =
    tree && faults.length === 0
      ? (JSON.parse(JSON.stringify(getNodeValue(tree))) as JsonObject)
      : {};
  return { site, file, text, tree, value, faults };
}

async function readSiteFile(dir: string, site: string): Promise<WorkingFile> {
  const file = formatFileName(dir, site);
  const { size } = await stat(file);
  if (size > MAX_FILE_BYTES) {
    const message = `the file has ${size} bytes; the limit is ${MAX_FILE_BYTES} bytes`;
    throw buildError('too-large', STEP, file, message);
  }
  return parseFile(site, file, await readFile(file, 'utf8'));
}

async function listSites(dir: string): Promise<string[]> {
  const names = await readdir(join(dir, 'overlays')).catch((thrown: NodeJS.ErrnoException) => {
    if (thrown.code === 'ENOENT') return [] as string[];
    throw thrown;
  });
  return names
    .filter((name) => name.endsWith(EXTENSION) && !name.startsWith('.'))
    .map((name) => name.slice(0, -EXTENSION.length))
    .sort();
}

/** Reads all files of a directory; undefined when there is neither a base nor an overlay. */
export async function findWorkingFiles(
  dir: string,
): Promise<Result<WorkingFiles | undefined, StepError>> {
  try {
    const sites = await listSites(dir);
    const hasBase = await stat(formatFileName(dir, '')).then(
      () => true,
      () => false,
    );
    if (!hasBase && sites.length === 0) return ok(undefined);
    const files = await Promise.all(['', ...sites].map((site) => readSiteFile(dir, site)));
    return ok({ dir, files });
  } catch (thrown) {
    return err(toStepError(thrown, STEP, dir));
  }
}

/** Reads all files of a directory; error kind `not-found` when there are none. */
export async function readWorkingFiles(dir: string): Promise<Result<WorkingFiles, StepError>> {
  const found = await findWorkingFiles(dir);
  return found.andThen((files) =>
    files
      ? ok(files)
      : err(
          buildError(
            'not-found',
            STEP,
            dir,
            'no base.jsonc or overlays/ found; set the directory with --dir',
          ),
        ),
  );
}

/** Returns the configuration from the files without faults. */
export function getContent({ files }: WorkingFiles): ConfigContent {
  const overlays = files
    .filter(({ site, faults }) => site !== '' && faults.length === 0)
    .map(({ site, value }) => [site, value] as const);
  const base = files.find(({ site }) => site === '')?.value ?? {};
  return { base, overlays: Object.fromEntries(overlays) };
}
