import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runProgram } from './runProgram.js';

const CASES: readonly [string, string, string][] = [
  ['nods', 'did you mean "lycheelane nodes"?', 'nodes'],
  ['config aply --wait', 'did you mean "lycheelane config apply"?', 'config'],
  ['config statsu 123', 'did you mean "lycheelane config status"?', 'config'],
  ['brun', 'did you mean "lycheelane report burn"?', ''],
  ['conf', 'there is no command "conf"', 'config'],
  ['weather', 'there is no command "weather"', ''],
  ['report burn now', '"report burn" takes no argument "now"', 'report burn'],
  ['nodes --nod x', 'there is no flag --nod; did you mean --node?', 'nodes'],
  ['config check --wait', 'there is no flag --wait', 'config check'],
  ['config history', 'platform (or set LYCHEELANE_PLATFORM)', 'config history'],
  ['config apply --wait --platform http://x', '--node (or set LYCHEELANE_NODE)', 'config apply'],
  ['config history --limit 0', 'greater than or equal to 1', 'config history'],
  ['config check --dir', 'Flag --dir expects a value', 'config check'],
  ['config history --platform 10.0.0.5:8000', 'expected one such as http://', 'config history'],
];

// Guards against errors for unknown commands or flags without the nearest name or the help command,
// and against exit codes other than that of usage errors.
for (const [line, expected, help] of CASES) {
  test(`usage: ${line}`, async () => {
    const { stderr, code } = await runProgram(...line.split(' '));
    assert.equal(code, 2, stderr);
    const text = stderr.replaceAll(/\s+/g, ' ');
    assert.ok(text.includes(expected), text);
    const end = `see: lycheelane ${help} --help`.replace('  ', ' ');
    assert.ok(text.endsWith(end), text);
  });
}

// Guards against `--json` that exits with 1 for every error, or that prints tokens and paths which
// oclif adds to the error.
test('usage: --json keeps the exit code and prints only the message', async () => {
  for (const [code, ...args] of [
    ['2', 'nodes', '--nonsense', '--node-token', 'secret'],
    ['2', 'config', 'check', '--dir', '/nowhere'],
    ['1', 'config', 'history', '--platform', 'http://127.0.0.1:9'],
  ]) {
    const result = await runProgram(...args, '--json');
    const { error } = JSON.parse(result.stdout) as { error: object };
    assert.equal(String(result.code), code, result.stdout);
    assert.deepEqual(Object.keys(error).sort().slice(-2), ['exitCode', 'message']);
    assert.doesNotMatch(result.stdout, /secret/);
  }
});
