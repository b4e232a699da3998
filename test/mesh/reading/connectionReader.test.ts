/** Guards against bytes that are lost, mixed or read too early by reading connections in slices. */
import assert from 'node:assert/strict';
import { createHash, randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { ConnectionReader } from '../../../src/mesh/reading/connectionReader.js';
import { ReadScheduler } from '../../../src/mesh/reading/readScheduler.js';
import { discardBody, readBody } from '../../../src/mesh/readBody.js';
import { closeServer, openServer } from '../../../standins/http.js';
import { sendHttp, wait } from '../../../standins/mesh/meshFleet.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;

function hash(body: Buffer): string {
  return createHash('sha1').update(body).digest('hex');
}

/** Runs a function with the port of a server whose connections are read in slices. */
async function withServer(
  handle: (message: IncomingMessage, response: ServerResponse) => void | Promise<void>,
  run: (port: number) => Promise<void>,
): Promise<void> {
  const scheduler = new ReadScheduler();
  const server = createServer((message, response) => {
    void handle(message, response);
  });
  server.on('connection', (socket) => new ConnectionReader(socket, scheduler, () => {}).start());
  const port = await openServer(server, '127.0.0.1', 0);
  try {
    await run(port);
  } finally {
    await closeServer(server);
  }
}

async function answerHash(message: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = await readBody(message, MAX_BODY_BYTES);
  // The bytes must not change after what was received has been freed.
  await wait(20);
  response.end(typeof body === 'string' ? body : hash(body));
}

test('bodies of all sizes that are read together arrive unchanged', () =>
  withServer(answerHash, async (port) => {
    const sizes = [1, 5000, 9000, 16_384, 65_536, 70_000, 300_000, 1_100_000, 5_000_000];
    const headerSets: Record<string, string>[] = [{ 'Transfer-Encoding': 'chunked' }, {}];
    const uploads = sizes.flatMap((size) => headerSets.map((headers) => ({ size, headers })));
    await Promise.all(
      uploads.map(async ({ size, headers }) => {
        const body = randomBytes(Math.ceil(size / 2)).toString('hex');
        const response = await sendHttp(port, {
          path: '/',
          id: '',
          method: 'POST',
          body,
          headers,
        });
        assert.equal(response.body, hash(Buffer.from(body)), `${size} bytes`);
      }),
    );
  }));

test('requests that wait behind responses of a client that reads late are all answered', () => {
  const requests = 64;
  const answer = 'y'.repeat(256 * 1024);
  return withServer(
    (message, response) => {
      message.resume();
      response.end(answer);
    },
    async (port) => {
      const socket = connect({ port, host: '127.0.0.1' }).pause();
      const half = 'GET / HTTP/1.1\r\nHost: mesh.example\r\n\r\n'.repeat(requests / 2);
      socket.write(half);
      await wait(200);
      socket.write(half);
      await wait(200);
      let bytes = 0;
      socket.on('data', (part: Buffer) => {
        bytes += part.length;
      });
      socket.resume();
      const isAnswered = () => bytes > requests * answer.length;
      for (let polls = 0; polls < 200 && !isAnswered(); polls += 1) {
        await wait(20);
      }
      socket.destroy();
      assert.ok(isAnswered());
    },
  );
});

test('a body that is announced over the limit is refused before it arrives', () =>
  withServer(answerHash, async (port) => {
    const socket = connect({ port, host: '127.0.0.1' });
    const length = MAX_BODY_BYTES + 1;
    socket.write(`POST / HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: ${length}\r\n\r\n`);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    assert.match(answer.toString(), /too-large/);
  }));

test('the connection of a refused body is closed when too much of it was dropped', () =>
  withServer(
    (message, response) => {
      discardBody(message, 64 * 1024);
      response.end('refused');
    },
    async (port) => {
      const socket = connect({ port, host: '127.0.0.1' }).resume();
      socket.on('error', () => {});
      const closed = once(socket, 'close');
      socket.write('POST / HTTP/1.1\r\nHost: mesh.example\r\nTransfer-Encoding: chunked\r\n\r\n');
      for (let sent = 0; sent < 3; sent += 1) socket.write(`8000\r\n${'x'.repeat(0x8000)}\r\n`);
      await closed;
    },
  ));
