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

interface Endpoint {
  readonly child: ChildProcess;
  readonly url: string;
}

const endpoints: Endpoint[] = [];

async function waitForMessage(
  child: ChildProcess,
  kind: string,
): Promise<Result & { port: number }> {
  for (;;) {
    const [message] = (await once(child, 'message')) as [Result & { port: number }];
    if (message.kind === kind) return message;
  }
}

async function startEndpoint(self: string): Promise<Endpoint> {
  const settings = { self, oneWayMs: ONE_WAY_MS, links: {}, cuts: [] };
  const child = fork(ECHO, [self], {
    execArgv: ['--import', PRELOAD],
    env: { ...process.env, [NETWORK_VARIABLE]: JSON.stringify(settings) },
  });
  const { port } = await waitForMessage(child, 'listening');
  return { child, url: `http://${self}:${port}/` };
}

function requestFrom(endpoint: Endpoint, url: string, body = 'x', times = 1): Promise<Result> {
  const result = waitForMessage(endpoint.child, 'result');
  endpoint.child.send({ url, body, times });
  return result;
}

async function setCuts(cuts: readonly string[]): Promise<void> {
  await Promise.all(
    endpoints.map(async ({ child }) => {
      const applied = waitForMessage(child, 'network-applied');
      child.send({ kind: 'network-cuts', sequence: 1, cuts });
      await applied;
    }),
  );
}

before(async () => {
  endpoints.push(
    ...(await Promise.all(['127.10.0.1', '127.10.0.2', '127.11.0.1'].map(startEndpoint))),
  );
});

after(() => {
  for (const { child } of endpoints) child.kill('SIGKILL');
});

// Guards against delays that are missing, apply within a data centre, or apply to each segment of
// a large body in turn.
test('network: a round trip to another data centre takes twice the one-way delay', async () => {
  const [local, sameSite, remote] = endpoints as [Endpoint, Endpoint, Endpoint];
  const localResult = await requestFrom(local, sameSite.url, 'x', 20);
  assert.equal(localResult.text, '127.10.0.1 1');
  const remoteResult = await requestFrom(local, remote.url, 'x', 5);
  assert.equal(remoteResult.text, '127.10.0.1 1');
  assert.ok((remoteResult.meanMs ?? 0) >= 2 * ONE_WAY_MS - 2, `took ${remoteResult.meanMs} ms`);
  assert.ok((localResult.meanMs ?? 0) < (remoteResult.meanMs ?? 0));
  const large = await requestFrom(local, remote.url, 'x'.repeat(3_000_000));
  assert.equal(large.text, '127.10.0.1 3000000');
});

// Guards against a cut that resets connections, lets traffic pass, or loses data when it ends.
test('network: connections stall without an error until the cut ends', async () => {
  const [local, sameSite, remote] = endpoints as [Endpoint, Endpoint, Endpoint];
  await requestFrom(local, remote.url);
  await setCuts(['10-11']);
  const settled: string[] = [];
  const overOpenConnection = requestFrom(local, remote.url).then((result) =>
    settled.push(`old ${result.text}`),
  );
  const overNewConnection = requestFrom(sameSite, remote.url).then((result) => {
    settled.push(`new ${result.text}`);
  });
  const other = await startEndpoint('127.11.0.2');
  const unaffected = await requestFrom(other, remote.url, 'x', 20);
  other.child.kill('SIGKILL');
  assert.equal(unaffected.text, '127.11.0.2 1');
  assert.deepEqual(settled, []);
  await setCuts([]);
  await Promise.all([overOpenConnection, overNewConnection]);
  assert.deepEqual(settled.sort(), ['new 127.10.0.2 1', 'old 127.10.0.1 1']);
});

// Guards against a delayed response that is lost because its sender exits right after sending it.
test('network: data sent before an exit is delivered', async () => {
  const [local, , remote] = endpoints as [Endpoint, Endpoint, Endpoint];
  const result = await requestFrom(local, `${remote.url}exit`);
  assert.equal(result.text, '127.10.0.1 1');
});
