import assert from 'node:assert/strict';
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { NETWORK_VARIABLE } from '../../standins/network/links.js';

const PRELOAD = new URL('../../standins/network/preload.js', import.meta.url).href;
const ECHO = fileURLToPath(new URL('../../standins/network/echo.js', import.meta.url));
const ONE_WAY_MS = 30;

interface Result {
  readonly kind: string;
  readonly text?: string;
  readonly error?: string;
  readonly meanMs?: number;
}

interface End {
  readonly child: ChildProcess;
  readonly url: string;
}

const ends: End[] = [];

async function waitForMessage(
  child: ChildProcess,
  kind: string,
): Promise<Result & { port: number }> {
  for (;;) {
    const [message] = (await once(child, 'message')) as [Result & { port: number }];
    if (message.kind === kind) return message;
  }
}

async function startEnd(self: string): Promise<End> {
  const settings = { self, oneWayMs: ONE_WAY_MS, links: {}, cuts: [] };
  const child = fork(ECHO, [self], {
    execArgv: ['--import', PRELOAD],
    env: { ...process.env, [NETWORK_VARIABLE]: JSON.stringify(settings) },
  });
  const { port } = await waitForMessage(child, 'listening');
  return { child, url: `http://${self}:${port}/` };
}

function requestFrom(end: End, url: string, body = 'x', times = 1): Promise<Result> {
  const result = waitForMessage(end.child, 'result');
  end.child.send({ url, body, times });
  return result;
}

async function setCuts(cuts: readonly string[]): Promise<void> {
  await Promise.all(
    ends.map(async ({ child }) => {
      const applied = waitForMessage(child, 'network-applied');
      child.send({ kind: 'network-cuts', sequence: 1, cuts });
      await applied;
    }),
  );
}

before(async () => {
  ends.push(...(await Promise.all(['127.10.0.1', '127.10.0.2', '127.11.0.1'].map(startEnd))));
});

after(() => {
  for (const { child } of ends) child.kill('SIGKILL');
});

// Guards against delays that are skipped, apply within a data centre, or serialise a large body.
test('network: a round trip to another data centre takes two delays', async () => {
  const [here, neighbour, far] = ends as [End, End, End];
  const near = await requestFrom(here, neighbour.url, 'x', 20);
  assert.equal(near.text, '127.10.0.1 1');
  const crossed = await requestFrom(here, far.url, 'x', 5);
  assert.equal(crossed.text, '127.10.0.1 1');
  assert.ok((crossed.meanMs ?? 0) >= 2 * ONE_WAY_MS - 2, `took ${crossed.meanMs} ms`);
  assert.ok((near.meanMs ?? 0) < (crossed.meanMs ?? 0));
  const large = await requestFrom(here, far.url, 'x'.repeat(3_000_000));
  assert.equal(large.text, '127.10.0.1 3000000');
});

// Guards against a cut that resets connections, lets traffic pass, or loses data at the heal.
test('network: a cut freezes connections silently until it heals', async () => {
  const [here, neighbour, far] = ends as [End, End, End];
  await requestFrom(here, far.url);
  await setCuts(['10-11']);
  const settled: string[] = [];
  const overOld = requestFrom(here, far.url).then((result) => settled.push(`old ${result.text}`));
  const overNew = requestFrom(neighbour, far.url).then((result) => {
    settled.push(`new ${result.text}`);
  });
  const other = await startEnd('127.11.0.2');
  const unharmed = await requestFrom(other, far.url, 'x', 20);
  other.child.kill('SIGKILL');
  assert.equal(unharmed.text, '127.11.0.2 1');
  assert.deepEqual(settled, []);
  await setCuts([]);
  await Promise.all([overOld, overNew]);
  assert.deepEqual(settled.sort(), ['new 127.10.0.2 1', 'old 127.10.0.1 1']);
});

// Guards against a response that the delay swallows when its sender exits right after it.
test('network: what was sent before an exit still arrives', async () => {
  const [here, , far] = ends as [End, End, End];
  const result = await requestFrom(here, `${far.url}exit`);
  assert.equal(result.text, '127.10.0.1 1');
});
