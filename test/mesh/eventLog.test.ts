/** When the event log writes its lines, and in which order. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { createEventLog } from '../../src/mesh/eventLog.js';

const execute = promisify(execFile);
const MODULE_URL = new URL('../../src/mesh/eventLog.js', import.meta.url).href;

/** Output that keeps what was written; `writableLength` is set by the test. */
class TestOutput {
  writableLength = 0;

  readonly writes: string[] = [];

  write(text: string): boolean {
    this.writes.push(text);
    return true;
  }

  listEvents(): string[] {
    return [...this.writes.join('').matchAll(/event=(\S+)/g)].map((match) => match[1]!);
  }
}

test('lines of level info share a write', ({ mock }) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  const output = new TestOutput();
  const log = createEventLog({}, output);
  for (const event of ['a', 'b', 'c']) log.write('info', event);
  assert.deepEqual(output.writes, []);
  mock.timers.tick(250);
  assert.equal(output.writes.length, 1);
  assert.deepEqual(output.listEvents(), ['a', 'b', 'c']);
  log.write('info', 'd');
  mock.timers.tick(250);
  assert.deepEqual(output.listEvents(), ['a', 'b', 'c', 'd']);
});

for (const level of ['warn', 'error'] as const) {
  test(`a line of level ${level} is written at once, after those that wait`, () => {
    const output = new TestOutput();
    const log = createEventLog({}, output);
    log.write('info', 'a');
    log.write(level, 'b');
    assert.deepEqual(output.listEvents(), ['a', 'b']);
  });
}

test('a line holds the fields of the log, then those of the event that are defined', () => {
  const output = new TestOutput();
  const log = createEventLog({ node: 'a 1', dataCentre: 'b' }, output);
  const fields = { reason: 'x="y"', ms: 1.5, count: -1e21, ok: false, none: undefined, text: '' };
  log.write('warn', 'call-ended', fields);
  const [, time, rest] = /^time=(\S+) (.*)\n$/.exec(output.writes.join('')) ?? [];
  assert.ok(Math.abs(Date.parse(time!) - Date.now()) < 60_000);
  const pairs = 'node="a 1" dataCentre=b reason="x=\\"y\\"" ms=1.5 count=-1e+21 ok=false text=""';
  assert.equal(rest, `level=warn event=call-ended ${pairs}`);
});

test('lines for a slow reader are dropped and counted', () => {
  const output = new TestOutput();
  const log = createEventLog({}, output);
  output.writableLength = 1024 * 1024;
  for (const event of ['a', 'b']) log.write('error', event);
  assert.deepEqual(output.writes, []);
  output.writableLength = 0;
  log.write('error', 'c');
  assert.match(output.writes.join(''), /^\S+ level=error event=c dropped=2\n$/);
});

test('lines that wait are written when the process exits', async () => {
  const script = `
    const { createEventLog } = await import(${JSON.stringify(MODULE_URL)});
    createEventLog({}).write('info', 'last');
    process.exit(0);`;
  const { stdout } = await execute(process.execPath, ['--input-type=module', '-e', script]);
  assert.match(stdout, /event=last\n$/);
});

test('lines that wait are written when the process ends by itself', async () => {
  const script = `
    const { createEventLog } = await import(${JSON.stringify(MODULE_URL)});
    createEventLog({}).write('info', 'last');`;
  const { stdout } = await execute(process.execPath, ['--input-type=module', '-e', script]);
  assert.match(stdout, /event=last\n$/);
});
