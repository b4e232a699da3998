/**
 * Guards against bodies of legal size, or far over it, that together make a process use more memory
 * than its host has, although what it counts stays within its limits.
 */
import { test } from 'node:test';
import { wait } from '../../standins/mesh/meshFleet.js';
import { formatUploadHead, MAX_FDS, playCrowd, sendChunks, type Client } from './clientCrowd.js';

const MIB = 1024 * 1024;

/** Memory of the host in these tests, in MB: less than that of any host, so that less shows it. */
const MEMORY_MB = 160;

const CROWD = 160;

/** Time in which clients without an end hold their connections open, in milliseconds. */
const HOLD_MS = 1000;

function playUploads(
  t: Parameters<typeof playCrowd>[0],
  size: number,
  upload: (client: Client) => Promise<void>,
): Promise<void> {
  return playCrowd(
    t,
    size,
    async ({ clients }) => {
      await Promise.all(clients.map(upload));
      await wait(HOLD_MS);
    },
    MAX_FDS,
    MEMORY_MB,
  );
}

test('whole bodies of 16 MiB leave a process within its memory', (t) => {
  const body = Buffer.alloc(16 * MIB);
  const head = formatUploadHead(`Content-Length: ${body.length}`);
  return playUploads(t, CROWD, async ({ write }) => {
    await write(head);
    await write(body);
  });
});

test('bodies of 16 MiB that stop one byte short leave a process within its memory', (t) => {
  const body = Buffer.alloc(16 * MIB);
  const head = formatUploadHead(`Content-Length: ${body.length + 1}`);
  return playUploads(t, CROWD, async ({ write }) => {
    await write(head);
    await write(body);
  });
});

test('bodies that arrive in pieces, one byte short, leave a process within its memory', (t) => {
  const piece = Buffer.alloc(16 * 1024);
  const pieces = 512;
  const head = formatUploadHead(`Content-Length: ${piece.length * pieces + 1}`);
  return playUploads(t, 2 * CROWD, async ({ write }) => {
    await write(head);
    for (let sent = 0; sent < pieces; sent += 1) await write(piece);
  });
});

test('chunked bodies over the limit leave a process within its memory', (t) =>
  playUploads(t, 100, (client) => sendChunks(client, 64 * 1024, 1280)));

test('bodies announced far over the limit leave a process within its memory', (t) => {
  const part = Buffer.alloc(64 * 1024);
  const head = formatUploadHead('Content-Length: 10000000000');
  return playUploads(t, 200, async ({ socket, write }) => {
    await write(head);
    for (let sent = 0; sent < 2048 && !socket.destroyed; sent += 1) await write(part);
  });
});
