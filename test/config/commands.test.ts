import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { Config } from '@oclif/core';
import { buildBundle, NO_PARENT } from '../../src/core/config/buildBundle.js';
import { formatBundleName, HEAD_NAME } from '../../src/core/config/readHead.js';
import { createMemoryPlatform, type MemoryPlatform } from '../../standins/memory/memoryPlatform.js';
import { runProgram } from './runProgram.js';
import { BASE_TEXT, buildContent, createDir, writeFiles } from './samples.js';

const STATUS: Readonly<Record<string, number>> = { conflict: 412, refused: 403 };
const NAME = /^\/v1\/objects\/(.*)$/;

async function readBody(request: IncomingMessage): Promise<unknown> {
  const text = (await request.toArray()).join('');
  return text === '' ? undefined : JSON.parse(text);
}

/** Responds as the platform, and as the operator port of a node that is `lag` versions behind. */
async function answer(platform: MemoryPlatform, lag: number, request: IncomingMessage) {
  const [, name = ''] = NAME.exec(request.url ?? '') ?? [];
  const body = await readBody(request);
  if (name === '') {
    const head = (await platform.read<{ version: number }>(HEAD_NAME))._unsafeUnwrap();
    const version = (head?.value.version ?? 0) - lag;
    const node = { nodeId: 'n1', dataCentre: 'a', region: 'r', digest: '', ready: true, version };
    const state = { verdict: 'alive', state: 'serving', refusal: null };
    const dataCentres = [{ name: 'a', reachable: true, sinceMs: 0 }];
    return { status: 200, text: JSON.stringify({ nodes: [{ ...node, ...state }], dataCentres }) };
  }
  if (request.method === 'GET' && name === 'bundles') {
    const objects = (await platform.list(name))._unsafeUnwrap();
    return { status: 200, text: JSON.stringify({ version: 0, objects }) };
  }
  if (request.method === 'GET') {
    const found = (await platform.read(name))._unsafeUnwrap();
    if (!found) return { status: 404, text: '' };
    return { status: 200, text: JSON.stringify(found.value), etag: `"${found.version}"` };
  }
  const expected = Number(request.headers['if-match']?.replaceAll('"', ''));
  if (request.method === 'DELETE') {
    const removed = await platform.remove(name, expected);
    return { status: removed.isOk() ? 204 : 412, text: '' };
  }
  const result = request.headers['if-none-match']
    ? await platform.create(name, body)
    : await platform.update(name, body, expected);
  if (result.isErr()) return { status: STATUS[result.error.kind] ?? 500, text: '' };
  return { status: 200, text: '', etag: `"${result.value}"` };
}

async function createEnvironment(context: TestContext, lag = 0) {
  const platform = createMemoryPlatform();
  const handle = async (request: IncomingMessage, response: ServerResponse) => {
    const { status, text, etag } = { etag: '', ...(await answer(platform, lag, request)) };
    response.writeHead(status, etag ? { etag } : {}).end(text);
  };
  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const dir = await createDir(context, { 'base.jsonc': BASE_TEXT, 'overlays/a.jsonc': '{}' });
  const config = await Config.load(process.cwd());
  /** Runs a command and returns its exit code and its output. */
  const run = async (id: string, ...args: string[]) => {
    const lines: string[] = [];
    const print = (line: unknown) => {
      lines.push(String(line));
    };
    const prints = [
      context.mock.method(console, 'log', print),
      context.mock.method(console, 'error', print),
    ];
    const before = process.exitCode;
    process.exitCode = undefined;
    let code = 0;
    try {
      await config.runCommand(`config:${id}`, args);
      code = Number(process.exitCode ?? 0);
    } catch (thrown) {
      lines.push((thrown as Error).message);
      code = (thrown as { oclif?: { exit?: number } }).oclif?.exit ?? 1;
    } finally {
      prints.forEach((mocked) => mocked.mock.restore());
      process.exitCode = before;
    }
    return { code, text: lines.join('\n') };
  };
  return { platform, dir, run, url, where: ['--dir', dir, '--platform', url] };
}

// Guards against errors of a node that are printed as JSON, and against unclear errors when the URL
// is that of another server.
test('explain and status print the error of a node or of another server', async (context) => {
  const { run, url } = await createEnvironment(context);
  const answers = new Map([
    ['/v1/explain?route=bok', '{"error":"no route named bok; did you mean book?"}'],
    ['/v1/status', '<html>none</html>'],
  ]);
  const server = createServer((request, response) => {
    response.writeHead(404).end(answers.get(request.url ?? ''));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => server.close());
  const node = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const explained = await runProgram('explain', 'bok', '--node', node);
  assert.match(explained.stderr, /Error: no route named bok; did you mean book\? \(step/);
  const status = await runProgram('status', '--node', node);
  assert.match(status.stderr.replaceAll(/\s+/g, ' '), /is this the operator port of a node\?/);
  assert.deepEqual([explained.code, status.code], [1, 1]);
  assert.match((await run('history', '--platform', url)).text, /accepted yet at http:/);
});

// Guards against a missing warning of an overlay with a misspelt name, which has no effect.
test('apply --wait warns of an overlay whose data centre has no node', async (context) => {
  const { dir, run, where, url } = await createEnvironment(context);
  await writeFiles(dir, { 'overlays/aa.jsonc': '{}' });
  const { text } = await run('apply', ...where, '--wait', '--node', url);
  assert.match(
    text.replaceAll(/[\s›]+/g, ' '),
    /aa\.jsonc: no node of a data centre named aa is known/,
  );
  assert.doesNotMatch(text, /named a is known/);
});

// Guards against changed exit codes, on which scripts depend.
test('exit codes: done, failed, faulty files and wrong usage', async (context) => {
  const { dir, run, where } = await createEnvironment(context);
  assert.equal((await run('check', '--dir', dir)).code, 0);
  assert.match((await run('render', '--dir', dir, '--site', 'a', '--defaults')).text, /drainMs/);
  assert.equal((await run('history', '--platform', 'http://127.0.0.1:9')).code, 1);
  assert.equal((await run('pull', ...where)).code, 1);
  assert.equal((await run('check', '--dir', join(dir, 'none'))).code, 2);
  assert.equal((await run('check', '--nonsense')).code, 2);
  assert.equal((await run('diff', '--dir', dir, '--platform', 'nowhere')).code, 2);
  await writeFiles(dir, { 'overlays/a.jsonc': '{ "service": {} }' });
  for (const [id, ...args] of [
    ['check', '--dir', dir],
    ['apply', ...where],
    ['diff', ...where],
  ]) {
    assert.equal((await run(id ?? '', ...args)).code, 2, id);
  }
});

// Guards against commands that report different accepted versions.
test('apply, diff, history, status and pull report the same version', async (context) => {
  const { dir, run, where, url } = await createEnvironment(context);
  assert.match((await run('apply', ...where)).text, /accepted as version 1, operation/);
  await writeFiles(dir, { 'overlays/a.jsonc': '{ "services": { "padbook": { "slots": 3 } } }' });
  const changed = '~ services.padbook.slots: 10 -> 3';
  assert.equal((await run('diff', ...where, '--site', 'a')).text, changed);
  assert.match((await run('diff', ...where)).text, /^\+ overlays\.a\.services: /);
  const applied = JSON.parse((await run('apply', ...where, '--json')).text);
  assert.deepEqual([applied.kind, applied.version], ['accepted', 2]);
  assert.match((await run('history', '--platform', url)).text, /^2 .*\n1 /);
  const status = await run('status', applied.operationId, '--platform', url);
  assert.match(status.text, /accepted as version 2/);
  assert.equal((await run('status', 'nothing', '--platform', url)).code, 4);
  assert.match((await run('pull', ...where)).text, /are based on version 2/);
});

// Guards against conflicts and unknown outcomes with the exit code of success.
test('exit codes: conflict and unknown result', async (context) => {
  const { dir, run, where, platform, url } = await createEnvironment(context);
  await run('apply', ...where);
  const other = await createDir(context);
  await run('pull', '--dir', other, ...where.slice(2));
  await writeFiles(dir, { 'base.jsonc': BASE_TEXT.replace('"slots": 6', '"slots": 7') });
  await writeFiles(other, { 'base.jsonc': BASE_TEXT.replace('"slots": 6', '"slots": 8') });
  platform.planFault('write', HEAD_NAME, 'held');
  platform.planFault('write', HEAD_NAME, 'refused');
  const unknown = await run('apply', ...where);
  assert.equal(unknown.code, 4);
  const [, operation = ''] = /lycheelane config status (\S+)/.exec(unknown.text) ?? [];
  assert.equal((await run('status', operation, '--platform', url)).code, 4);
  platform.applyDelayedWrites();
  assert.equal((await run('status', operation, '--platform', url)).code, 0);
  const conflict = await run('apply', '--dir', other, ...where.slice(2));
  assert.equal(conflict.code, 3);
  assert.match(
    conflict.text,
    /base\.services\.skyguide\.slots[^]*before: 6[^]*here: +8[^]*theirs: 7/,
  );
});

// Guards against a dry run that removes bundles, and against removals that are not listed.
test('prune lists and removes the bundle of a crashed apply', async (context) => {
  const { run, where, platform, url } = await createEnvironment(context);
  const crashed = buildBundle(buildContent(), NO_PARENT);
  platform.put(formatBundleName(crashed.operationId), crashed);
  const prune = (...args: string[]) => run('prune', '--platform', url, ...args);
  assert.match((await prune('--min-age', '0')).text, /^0 orphaned; kept: 0 accepted, 1 open/);
  await run('apply', ...where);
  assert.match((await prune()).text, /^0 orphaned; kept: 1 accepted, 0 open, 1 younger than 24 h/);
  const dry = await prune('--min-age', '0', '--dry-run');
  assert.match(dry.text, new RegExp(`^would remove ${crashed.operationId}\n1 orphaned`));
  const done = JSON.parse((await prune('--min-age', '0', '--json')).text);
  assert.deepEqual(done.removed, [crashed.operationId]);
  assert.equal((await run('history', '--platform', url)).code, 0);
  assert.equal(platform.objects.has(formatBundleName(crashed.operationId)), false);
});

// Guards against a wait that reports success while nodes are at an older version.
for (const [lag, code, pattern] of [
  [0, 0, /a: 1 of 1 nodes at version 1[^]*in force everywhere/],
  [1, 5, /n1 \(a\): has no configuration yet/],
] as const) {
  test(`apply --wait with a node ${lag} versions behind exits with ${code}`, async (context) => {
    const { run, where, url } = await createEnvironment(context, lag);
    const result = await run('apply', ...where, '--wait', '--node', url, '--timeout', '1');
    assert.equal(result.code, code, result.text);
    assert.match(result.text, pattern);
  });
}
