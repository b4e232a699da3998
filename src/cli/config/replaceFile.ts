/** Atomic replacement of files. */
import { rename, rm, writeFile } from 'node:fs/promises';
import { basename, dirname, join } from 'node:path';

/** Writes a temporary file and renames it, so that readers see the old text or the new one. */
export async function replaceFile(file: string, text: string): Promise<void> {
  const temporary = join(dirname(file), `.${basename(file)}.${process.pid}.tmp`);
  try {
    await writeFile(temporary, text);
    await rename(temporary, file);
  } catch (thrown) {
    await rm(temporary, { force: true });
    throw thrown;
  }
}
