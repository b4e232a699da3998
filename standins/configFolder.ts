/** Temporary copies of the example configurations, so that an edit leaves the originals alone. */
import { copyFile, mkdir, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCommand, type Mesh } from './launcher.js';

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url));

/** Copies an example into the folder of a mesh and returns the path of the copy. */
export async function copyExample(mesh: Mesh, name: string): Promise<string> {
  const from = join(EXAMPLES, name);
  const to = join(mesh.folder, 'config');
  await mkdir(join(to, 'overlays'), { recursive: true });
  const overlays = await readdir(join(from, 'overlays'));
  for (const file of ['base.jsonc', ...overlays.map((overlay) => join('overlays', overlay))]) {
    await copyFile(join(from, file), join(to, file));
  }
  return to;
}

/** Applies a folder with the command line; throws when it is not accepted. */
export async function applyFolder(mesh: Mesh, folder: string, ...flags: string[]): Promise<string> {
  const args = ['config', 'apply', '--dir', folder, '--platform', mesh.platformUrl, ...flags];
  const { code, stdout, stderr } = await runCommand(args);
  if (code !== 0) throw new Error(`config apply exited with ${code}: ${stderr.trim()}`);
  return stdout;
}
