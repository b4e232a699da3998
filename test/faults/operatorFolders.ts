/** Operators of the failure tests: folders of configuration files and the command line. */
import assert from 'node:assert/strict';
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { runCommand, type Mesh } from '../../standins/launcher.js';
import { writeFiles } from '../config/samples.js';
import { buildConfig } from './support.js';

/** Overlay of the data centre `dc0`, which sets the `timeoutMs` of route `browse` to 5000. */
export const OVERLAY = join('overlays', 'dc0.jsonc');

/** Runs `lycheelane config apply`. */
export function runApply(mesh: Mesh, folder: string) {
  return runCommand(['config', 'apply', '--dir', folder, '--platform', mesh.platformUrl]);
}

/** Makes a folder with the accepted files, as an operator who starts to work does. */
export async function pullFolder(mesh: Mesh, folder: string): Promise<void> {
  await mkdir(folder, { recursive: true });
  const args = ['config', 'pull', '--dir', folder, '--platform', mesh.platformUrl, '--force'];
  await runCommand(args);
}

/** Writes and applies the first files and gives each operator a copy of them. */
export async function prepareFolders(mesh: Mesh): Promise<readonly [string, string]> {
  const [one, two] = [join(mesh.folder, 'one'), join(mesh.folder, 'two')];
  await pullFolder(mesh, one);
  await writeFiles(one, {
    'base.jsonc': JSON.stringify(buildConfig().base, undefined, 2),
    [OVERLAY]: '{ "routes": { "browse": { "timeoutMs": 5000 } } }\n',
  });
  const first = await runApply(mesh, one);
  assert.equal(first.code, 0, first.stderr);
  await pullFolder(mesh, two);
  return [one, two];
}

/** Replaces a text that the file must hold. */
export async function editFile(
  folder: string,
  file: string,
  from: string,
  to: string,
): Promise<void> {
  const path = join(folder, file);
  const text = await readFile(path, 'utf8');
  assert.ok(text.includes(from), text);
  await writeFile(path, text.replace(from, to));
}
