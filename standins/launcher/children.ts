/** All child processes of this program; none outlives it. */
import type { ChildProcess } from 'node:child_process';
/* eslint-disable n/no-sync -- nothing asynchronous runs any more when a process exits. */
import { rmSync } from 'node:fs';

const children = new Set<ChildProcess>();
const folders = new Set<string>();
let isRegistered = false;

function stopAll(): void {
  for (const child of children) child.kill('SIGKILL');
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
}

function registerExit(): void {
  if (isRegistered) return;
  isRegistered = true;
  process.on('exit', stopAll);
  // An exit, unlike a signal, runs the listener above; 128 + signal number, as shells report it.
  // eslint-disable-next-line n/no-process-exit
  process.once('SIGINT', () => process.exit(130));
  // eslint-disable-next-line n/no-process-exit
  process.once('SIGTERM', () => process.exit(143));
}

/** Makes sure that a child ends with this process. */
export function addChild(child: ChildProcess): void {
  registerExit();
  children.add(child);
  child.once('exit', () => children.delete(child));
}

/** Makes sure that a temporary folder is removed with this process. */
export function addFolder(folder: string): void {
  registerExit();
  folders.add(folder);
}

/** Removes a temporary folder. */
export function removeFolder(folder: string): void {
  rmSync(folder, { recursive: true, force: true });
  folders.delete(folder);
}
