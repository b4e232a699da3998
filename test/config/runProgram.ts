import { spawn } from 'node:child_process';

/** Runs the program as a child process, since oclif loads hooks and help only in the program. */
export async function runProgram(...args: string[]) {
  const env = { ...process.env };
  delete env.LYCHEELANE_NODE;
  delete env.LYCHEELANE_PLATFORM;
  const child = spawn(process.execPath, ['dist/src/cli/main.js', ...args], { env });
  const read = async (stream: NodeJS.ReadableStream) => {
    const chunks: Buffer[] = [];
    for await (const chunk of stream) chunks.push(chunk as Buffer);
    return Buffer.concat(chunks).toString();
  };
  const closed = new Promise<number | null>((resolve) => {
    child.once('close', resolve);
  });
  const [stdout, stderr, code] = await Promise.all([
    read(child.stdout),
    read(child.stderr),
    closed,
  ]);
  // oclif wraps its error messages to the width of the terminal.
  return { stdout, stderr: stderr.replaceAll(/\s*›\s*/g, ' ').trim(), code };
}
