/**
 * Guards against clients whose bytes take a process so much work that it answers nobody else. What
 * is compared is the order of answers, which does not depend on the speed of the machine.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatUploadHead, playCrowd, waitUntil, type Client } from './clientCrowd.js';

const CROWD = 60;

/** Chunks of one byte that each client sends. */
const CHUNKS = 50_000;

/** Ordinary requests that are answered before the last body of the crowd. */
const ORDINARY_REQUESTS = 10;

/** Long enough for any machine, in milliseconds. */
const DEADLINE_MS = 20_000;

const TINY_CHUNK = '1\r\nx\r\n';

/** Sends a complete body in chunks of one byte. */
async function sendTinyChunks({ write }: Client): Promise<void> {
  await write(formatUploadHead('Transfer-Encoding: chunked'));
  await write(TINY_CHUNK.repeat(CHUNKS));
  await write('0\r\n\r\n');
}

test('ordinary requests are answered while bodies in chunks of one byte are read', (t) =>
  playCrowd(t, CROWD, async ({ clients, requestOnce }) => {
    const hasEnded = ({ socket }: Client) => socket.bytesRead > 0 || socket.destroyed;
    const sent = Promise.all(clients.map(sendTinyChunks));
    for (let requests = 0; requests < ORDINARY_REQUESTS; requests += 1) {
      assert.equal(await requestOnce(`ordinary-${requests}`, DEADLINE_MS), 200);
    }
    const ended = clients.filter(hasEnded).length;
    t.diagnostic(`${ended} bodies had ended`);
    assert.ok(ended < CROWD, 'ordinary requests wait for all bodies');
    await sent;
    await waitUntil(() => clients.every(hasEnded), 'the bodies of the crowd are read');
  }));

test('a lone body in chunks of one byte is served', (t) =>
  playCrowd(t, 1, async ({ clients, instance }) => {
    await sendTinyChunks(clients[0]!);
    await waitUntil(() => instance.runs.length === 1, 'the request runs');
    assert.equal(instance.runs[0]!.body, 'x'.repeat(CHUNKS));
  }));
