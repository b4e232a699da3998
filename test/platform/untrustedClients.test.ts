/**
 * Guards against clients that together make a process hold more memory or descriptors than its host
 * has: no speed of the machine decides, only what is held and that an ordinary request is answered.
 */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { wait } from '../../standins/mesh/meshFleet.js';
import {
  formatHead,
  MAX_BODY_BYTES,
  playCrowd,
  sendChunks,
  STALL_MS,
  waitUntil,
  type Client,
} from './clientCrowd.js';

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
