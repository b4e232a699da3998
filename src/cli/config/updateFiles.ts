/** Update of the working files to an accepted or pulled content. */
import { mkdir, readFile, rm } from 'node:fs/promises';
import { dirname } from 'node:path';
import { isDeepStrictEqual } from 'node:util';
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { ConfigContent, JsonObject } from '../../core/config/renderSite.js';
import { editText, formatNewFile } from './editText.js';
import { replaceFile } from './replaceFile.js';
import { formatFileName, type WorkingFile, type WorkingFiles } from './workingFiles.js';

interface FileUpdate {
  readonly file: string;
  /** Text when the files were read; undefined when the file did not exist. */
  readonly before: string | undefined;
  /** Undefined removes the file. */
  readonly after: string | undefined;
}

function renderFile({ text, value, faults }: WorkingFile, target: JsonObject): string {
  return faults.length > 0 ? formatNewFile(target) : editText(text, value, target);
}

function listUpdates(working: WorkingFiles, content: ConfigContent): FileUpdate[] {
  const targets = new Map([['', content.base], ...Object.entries(content.overlays)]);
  const updates: FileUpdate[] = [];
  for (const source of working.files) {
    const target = targets.get(source.site);
    targets.delete(source.site);
    if (source.faults.length === 0 && isDeepStrictEqual(source.value, target)) continue;
    const after = target && renderFile(source, target);
    updates.push({ file: source.file, before: source.text, after });
  }
  for (const [site, target] of targets) {
    const file = formatFileName(working.dir, site);
    updates.push({ file, before: undefined, after: formatNewFile(target) });
  }
  return updates;
}

async function readText(file: string): Promise<string | undefined> {
  return readFile(file, 'utf8').catch((thrown: NodeJS.ErrnoException) => {
    if (thrown.code === 'ENOENT') return undefined;
    throw thrown;
  });
}

/**
 * Updates the files that differ from `content` and returns their paths. Error kind `conflict`,
 * with no file updated, when a file has changed since it was read.
 */
export async function updateFiles(
  working: WorkingFiles,
  content: ConfigContent,
): Promise<Result<string[], StepError>> {
  const step = 'config.update-files';
  try {
    const updates = listUpdates(working, content);
    for (const { file, before } of updates) {
      if ((await readText(file)) === before) continue;
      const message = 'the file was changed while the command ran; no file was updated';
      return err(buildError('conflict', step, file, message));
    }
    for (const { file, after } of updates) {
      await mkdir(dirname(file), { recursive: true });
      await (after === undefined ? rm(file) : replaceFile(file, after));
    }
    return ok(updates.map(({ file }) => file));
  } catch (thrown) {
    return err(toStepError(thrown, step, working.dir));
  }
}
