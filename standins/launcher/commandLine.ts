/** Runs the command line `lycheelane` as a child process. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { addChild } from './children.js';

/** What a command printed and its exit code. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const COMMAND_LIMIT_MS = 60_000;

/** Runs a command to its end. */
export function runCommand(args: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [PROGRAM, ...args],
      { timeout: COMMAND_LIMIT_MS, killSignal: 'SIGKILL' },
      (error, stdout, stderr) => {
        const code = error === null ? 0 : (child.exitCode ?? 1);
        resolve({ code, stdout, stderr });
      },
    );
    addChild(child);
  });
}
