/** Child processes and temporary folders that are cleaned up when this process exits. */
import type { ChildProcess } from 'node:child_process';
/* eslint-disable n/no-sync -- `exit` listeners can only do synchronous work. */
import { rmSync } from 'node:fs';

const SIGINT_EXIT_CODE = 130;
const SIGTERM_EXIT_CODE = 143;

const children = new Set<ChildProcess>();
const folders = new Set<string>();
let isRegistered = false;

function cleanUp(): void {
  for (const child of children) child.kill('SIGKILL');
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
}

function registerExitHandlers(): void {
  if (isRegistered) return;
  isRegistered = true;
  process.on('exit', cleanUp);
  // `process.exit` runs the listener above, a signal does not; exit code 128 + signal number.
  // eslint-disable-next-line n/no-process-exit
  process.once('SIGINT', () => process.exit(SIGINT_EXIT_CODE));
  // eslint-disable-next-line n/no-process-exit
  process.once('SIGTERM', () => process.exit(SIGTERM_EXIT_CODE));
}

/** Registers a child process that is killed when this process exits. */
export function registerChild(child: ChildProcess): void {
  registerExitHandlers();
  children.add(child);
  child.once('exit', () => children.delete(child));
}

/** Registers a temporary folder that is removed when this process exits. */
export function registerFolder(folder: string): void {
  registerExitHandlers();
  folders.add(folder);
}

/** Removes a temporary folder. */
export function removeFolder(folder: string): void {
  rmSync(folder, { recursive: true, force: true });
  folders.delete(folder);
}
