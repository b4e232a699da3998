/** The demo that a new user runs first. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const PROGRAM = fileURLToPath(new URL('../../demo/platform.js', import.meta.url));

test('the demo ends with a good verdict', async () => {
  const { code, output } = await new Promise<{ code: unknown; output: string }>((resolve) => {
    execFile(process.execPath, [PROGRAM], (error, stdout) => {
      resolve({ code: error?.code ?? 0, output: stdout });
    });
  });
  assert.match(output, /^verdict: good$/m, output);
  assert.equal(code, 0);
});
