/** Crowds of clients against a node process, and what must hold after each of them. */
import assert from 'node:assert/strict';
import { readdir } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import type { TestContext } from 'node:test';
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

export const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Descriptors of the host: more than the crowds need but for the one of connections alone. */
export const MAX_FDS = 1000;

/** Time without progress after which a client is cut off; the default is longer. */
export const STALL_MS = 1500;

const POLL_INTERVAL_MS = 100;
const MAX_POLLS = 400;

/** Requests that an ordinary client sends until one is answered. */
const MAX_TRIES = 50;

const ROUTES: readonly FleetRoute[] = [
  { prefix: '/read/', timeoutMs: 20_000 },
  { prefix: '/write/', kind: 'unsafe', timeoutMs: 20_000 },
];

/** Formats the head of a request to the route of ordinary clients. */
export function formatHead(method: string, ...headers: readonly string[]): string {
  return `${[`${method} /read/ HTTP/1.1`, 'Host: mesh.example', ...headers].join('\r\n')}\r\n\r\n`;
}

/** Formats the head of a request with a body to a route that is not idempotent. */
export function formatUploadHead(...headers: readonly string[]): string {
  const lines = ['POST /write/ HTTP/1.1', 'Host: mesh.example', ...headers];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** One client of a crowd, whose connection the node may close at any time. */
export interface Client {
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

/** Polls for up to 40 s until a condition holds. */
export async function waitUntil(
  isTrue: () => boolean | Promise<boolean>,
  what: string,
): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (await isTrue()) return;
    await wait(POLL_INTERVAL_MS);
  }
  throw new Error(`not within 40 s: ${what}`);
}

export interface Crowd {
  readonly clients: readonly Client[];
  readonly instance: InstanceServer;
  /** Sends an ordinary request and returns its status; 0 without a response. */
  requestOnce(id: string, deadlineMs?: number): Promise<number>;
  /** Returns the number of connections that the node has not closed. */
  countOpen(): number;
  countDescriptors(): Promise<number>;
}

/** Plays a crowd against a node process, then checks what must hold after each of them. */
export function playCrowd(
  t: TestContext,
  size: number,
  play: (crowd: Crowd) => Promise<void>,
  maxFds = MAX_FDS,
  memoryMb = MEMORY_LIMIT_MB,
): Promise<void> {
  return withSetup(async ({ options, store, instance }) => {
    const limits = { MaxFds: maxFds, StallMs: STALL_MS, MemoryMb: memoryMb };
    await writeSettings({ ...options, limits });
    store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(2, ROUTES, MAX_BODY_BYTES));
    const [calls = 0, , ready = 0, announcements = 0] = options.ports;
    const node = startNodeProcess(options, await readDeployFlags());
    const { pid } = node.process;
    const clients: Client[] = [];
    const requestOnce = async (id: string, deadlineMs?: number) => {
      const request = { path: '/read/', id, ...(deadlineMs && { deadlineMs }) };
      const answer = await sendHttp(calls, request).catch(() => undefined);
      return answer?.status ?? 0;
    };
    try {
      await waitUntilReady(ready);
      await announceInstance(announcements, options.instancePort, 4);
      for (let index = 0; index < size; index += 1) clients.push(openClient(calls));
      await play({
        clients,
        instance,
        requestOnce,
        countOpen: () => clients.filter(({ socket }) => !socket.destroyed).length,
        countDescriptors: async () => (await readdir(`/proc/${pid}/fd`)).length,
      });
      Object.assign(instance, { executionTimeMs: 0, fault: { kind: 'none' } });
      let status = 0;
      for (let tries = 0; tries < MAX_TRIES && status !== 200; tries += 1) {
        status = await requestOnce(`after-${tries}`);
        if (status !== 200) await wait(POLL_INTERVAL_MS);
      }
      assert.equal(node.process.exitCode ?? node.process.signalCode, null, 'the process ended');
      assert.equal(status, 200, 'an ordinary request is answered');
      const peakMb = await readPeakMb(pid!);
      t.diagnostic(`peak ${Math.round(peakMb)} MB`);
      assert.ok(peakMb <= memoryMb, `${Math.round(peakMb)} MB`);
      assert.ok((await readdir(`/proc/${pid}/fd`)).length <= maxFds);
    } finally {
      for (const { socket } of clients) socket.destroy();
      node.process.kill('SIGKILL');
      await node.exited;
    }
  }, ROUTES);
}

/** Sends a body without an end in equal chunks. */
export async function sendChunks(
  { write }: Client,
  chunkBytes: number,
  count: number,
): Promise<void> {
  await write(formatHead('POST', 'Transfer-Encoding: chunked'));
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const perWrite = Math.max(1, Math.floor((64 * 1024) / chunk.length));
  for (let sent = 0; sent < count; sent += perWrite) {
    await write(chunk.repeat(Math.min(perWrite, count - sent)));
  }
}
