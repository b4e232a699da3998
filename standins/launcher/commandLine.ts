/** Runs the `lycheelane` command-line program as a child process. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { registerChild } from './children.js';

/** Output and exit code of a command. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const COMMAND_TIMEOUT_MS = 60_000;

/** Runs a command and resolves when it has exited. */
export function runCommand(args: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [PROGRAM, ...args],
      { timeout: COMMAND_TIMEOUT_MS, killSignal: 'SIGKILL' },
      (error, stdout, stderr) => {
        const code = error === null ? 0 : (child.exitCode ?? 1);
        resolve({ code, stdout, stderr });
      },
    );
    registerChild(child);
  });
}
