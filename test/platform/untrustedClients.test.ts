/**
 * Guards against clients that together make a process hold more memory or descriptors than its host
 * has: no speed of the machine decides, only what is held and that an ordinary request is answered.
 */
import assert from 'node:assert/strict';
import { readdir } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { buildConfiguration, type FleetRoute } from '../../standins/mesh/configuration.js';
import type { InstanceServer } from '../../standins/mesh/instanceServer.js';
import { sendHttp, wait } from '../../standins/mesh/meshFleet.js';
import {
  readDeployFlags,
  startNodeProcess,
  writeSettings,
} from '../../standins/mesh/nodeProcess.js';
import {
  announceInstance,
  MEMORY_LIMIT_MB,
  readPeakMb,
  waitUntilReady,
  withSetup,
} from '../mesh/nodeProcessParts.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Descriptors of the host: more than the crowds need but for the one of connections alone. */
const MAX_FDS = 1000;

/** Time without progress after which a client is cut off; the default is longer. */
const STALL_MS = 1500;

const POLL_INTERVAL_MS = 100;
const MAX_POLLS = 400;

/** Requests that an ordinary client sends until one is answered. */
const MAX_TRIES = 50;

const ROUTES: readonly FleetRoute[] = [{ prefix: '/read/', timeoutMs: 20_000 }];

function formatHead(method: string, ...headers: readonly string[]): string {
  return `${[`${method} /read/ HTTP/1.1`, 'Host: mesh.example', ...headers].join('\r\n')}\r\n\r\n`;
}

/** One client of a crowd, whose connection the node may close at any time. */
interface Client {
  readonly socket: Socket;
  /** Writes bytes; resolves once they may be followed by more, or the connection has closed. */
  write(bytes: string | Buffer): Promise<void>;
}

function openClient(port: number): Client {
  const socket = connect({ port, host: '127.0.0.1' });
  socket.on('error', () => {});
  socket.resume();
  return {
    socket,
    write: (bytes) =>
      new Promise((resolve) => {
        if (socket.destroyed) {
          resolve();
          return;
        }
        const finish = () => {
          socket.off('drain', finish);
          socket.off('close', finish);
          resolve();
        };
        socket.on('close', finish);
        socket.on('drain', finish);
        if (socket.write(bytes)) finish();
      }),
  };
}

async function waitUntil(isTrue: () => boolean | Promise<boolean>, what: string): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (await isTrue()) return;
    await wait(POLL_INTERVAL_MS);
  }
  throw new Error(`not within 40 s: ${what}`);
}

interface Crowd {
  readonly clients: readonly Client[];
  readonly instance: InstanceServer;
  /** Returns the number of connections that the node has not closed. */
  countOpen(): number;
  countDescriptors(): Promise<number>;
}

/** Plays a crowd against a node process, then checks what must hold after each of them. */
function playCrowd(
  t: TestContext,
  size: number,
  play: (crowd: Crowd) => Promise<void>,
  maxFds = MAX_FDS,
): Promise<void> {
  return withSetup(async ({ options, store, instance }) => {
    await writeSettings({ ...options, limits: { MaxFds: maxFds, StallMs: STALL_MS } });
    store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(2, ROUTES, MAX_BODY_BYTES));
    const [calls = 0, , ready = 0, announcements = 0] = options.ports;
    const node = startNodeProcess(options, await readDeployFlags());
    const { pid } = node.process;
    const clients: Client[] = [];
    try {
      await waitUntilReady(ready);
      await announceInstance(announcements, options.instancePort, 4);
      for (let index = 0; index < size; index += 1) clients.push(openClient(calls));
      await play({
        clients,
        instance,
        countOpen: () => clients.filter(({ socket }) => !socket.destroyed).length,
        countDescriptors: async () => (await readdir(`/proc/${pid}/fd`)).length,
      });
      Object.assign(instance, { executionTimeMs: 0, fault: { kind: 'none' } });
      let status = 0;
      for (let tries = 0; tries < MAX_TRIES && status !== 200; tries += 1) {
        const answer = await sendHttp(calls, { path: '/read/', id: `after-${tries}` }).catch(
          () => undefined,
        );
        status = answer?.status ?? 0;
        if (status !== 200) await wait(POLL_INTERVAL_MS);
      }
      assert.equal(node.process.exitCode ?? node.process.signalCode, null, 'the process ended');
      assert.equal(status, 200, 'an ordinary request is answered');
      const peakMb = await readPeakMb(pid!);
      t.diagnostic(`peak ${Math.round(peakMb)} MB`);
      assert.ok(peakMb <= MEMORY_LIMIT_MB, `${Math.round(peakMb)} MB`);
      assert.ok((await readdir(`/proc/${pid}/fd`)).length <= maxFds);
    } finally {
      for (const { socket } of clients) socket.destroy();
      node.process.kill('SIGKILL');
      await node.exited;
    }
  }, ROUTES);
}

/** Sends a body without an end in equal chunks. */
async function sendChunks({ write }: Client, chunkBytes: number, count: number): Promise<void> {
  await write(formatHead('POST', 'Transfer-Encoding: chunked'));
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const perWrite = Math.max(1, Math.floor((64 * 1024) / chunk.length));
  for (let sent = 0; sent < count; sent += perWrite) {
    await write(chunk.repeat(Math.min(perWrite, count - sent)));
  }
}

test('large chunks without an end do not use up the memory', (t) =>
  playCrowd(t, 12, async ({ clients }) => {
    await Promise.all(clients.map((client) => sendChunks(client, 64 * 1024, 480)));
  }));

test('chunks of one byte do not hold more than they count', (t) =>
  playCrowd(t, 60, async ({ clients }) => {
    await Promise.all(clients.map((client) => sendChunks(client, 1, 200_000)));
  }));

test('declared lengths of which only a part is sent do not use up the memory', (t) =>
  playCrowd(t, 60, async ({ clients }) => {
    const head = formatHead('POST', `Content-Length: ${60 * 1024 * 1024}`);
    const part = Buffer.alloc(64 * 1024);
    await Promise.all(
      clients.map(async ({ write }) => {
        await write(head);
        for (let sent = 0; sent < 48; sent += 1) await write(part);
      }),
    );
  }));

test('complete bodies that wait for a slow instance do not use up the memory', (t) =>
  playCrowd(t, 60, async ({ clients, instance }) => {
    Object.assign(instance, { executionTimeMs: 8000 });
    const bytes = 4 * 1024 * 1024;
    const head = formatHead('POST', `Content-Length: ${bytes}`);
    await Promise.all(
      clients.map(async ({ write }) => {
        await write(head);
        await write(Buffer.alloc(bytes));
      }),
    );
  }));

test('a body that stalls ends with its connection', (t) =>
  playCrowd(t, 20, async ({ clients, countOpen }) => {
    await Promise.all(clients.map((client) => sendChunks(client, 1024, 4)));
    await waitUntil(() => countOpen() === 0, 'stalled bodies are ended');
  }));

test('a body that is slow, but goes on, is not ended', (t) =>
  playCrowd(t, 4, async ({ clients, countOpen }) => {
    await Promise.all(
      clients.map(async (client) => {
        await sendChunks(client, 1, 1);
        for (let sent = 0; sent < 20; sent += 1) {
          await wait(STALL_MS / 10);
          await client.write('1\r\nx\r\n');
        }
      }),
    );
    assert.equal(countOpen(), clients.length);
  }));

test('long responses that are not read end with their connections', (t) =>
  playCrowd(t, 20, async ({ clients, instance }) => {
    const body = Buffer.alloc(6 * 1024 * 1024);
    const write = (socket: Socket, requestId: string) => {
      const head =
        `HTTP/1.1 200 OK\r\nX-Lycheelane-Request-Attempt-Id: ${requestId}\r\n` +
        `X-Lycheelane-Response-Signature: s\r\nContent-Length: ${body.length}\r\n\r\n`;
      socket.write(head);
      socket.write(body);
    };
    Object.assign(instance, { fault: { kind: 'script', write } });
    for (const { socket } of clients) socket.pause();
    const requests = Array.from({ length: 8 }, (_, index) =>
      formatHead('GET', `X-Lycheelane-Request-Attempt-Id: r-${index}`),
    ).join('');
    await Promise.all(clients.map((client) => client.write(requests)));
    // Clients whose requests were all refused have read all of it.
    const isLong = ({ socket }: Client) => socket.bytesRead >= 16 * 1024;
    const hasAnswer = ({ socket }: Client) => socket.destroyed || socket.bytesRead > 0;
    await waitUntil(() => clients.every(hasAnswer) && clients.some(isLong), 'long responses');
    await waitUntil(async () => {
      // A paused socket shows its end only when it is written to.
      await Promise.all(clients.map((client) => client.write('\r\n')));
      return clients.every((client) => client.socket.destroyed || !isLong(client));
    }, 'connections with unread responses are ended');
  }));

test('pipelined requests do not use up the memory', (t) =>
  playCrowd(t, 40, async ({ clients, instance }) => {
    Object.assign(instance, { executionTimeMs: 5000 });
    const block = formatHead('GET').repeat(1000);
    await Promise.all(
      clients.map(async ({ write }) => {
        for (let sent = 0; sent < 20; sent += 1) await write(block);
      }),
    );
  }));

test('heads that arrive byte by byte end with their connections', (t) =>
  playCrowd(t, 100, async ({ clients, countOpen }) => {
    await Promise.all(clients.map(({ write }) => write('GET /read/ HTTP/1.1\r\n')));
    await waitUntil(async () => {
      await Promise.all(clients.map(({ write }) => write('x')));
      return countOpen() === 0;
    }, 'unfinished heads are ended');
  }));

test('large heads without an end do not use up the memory', (t) =>
  playCrowd(t, 600, async ({ clients }) => {
    const head = `GET /read/ HTTP/1.1\r\n${'a:b\r\n'.repeat(20_000)}`;
    await Promise.all(clients.map(({ write }) => write(head)));
    await wait(1000);
  }));

test('connections alone do not use up the descriptors', (t) =>
  playCrowd(
    t,
    500,
    async ({ countOpen, countDescriptors }) => {
      let mostDescriptors = 0;
      await waitUntil(async () => {
        mostDescriptors = Math.max(mostDescriptors, await countDescriptors());
        return countOpen() <= 400;
      }, 'connections are closed');
      assert.ok(mostDescriptors <= 400, `${mostDescriptors} descriptors`);
    },
    400,
  ));

test('a lone body of the largest size in chunks is served', (t) =>
  playCrowd(t, 1, async ({ clients, instance }) => {
    const [client] = clients;
    await sendChunks(client!, 64 * 1024, 1024);
    await client!.write('0\r\n\r\n');
    await waitUntil(() => instance.runs.length === 1, 'the request runs');
    assert.equal(instance.runs[0]!.body.length, MAX_BODY_BYTES);
  }));
