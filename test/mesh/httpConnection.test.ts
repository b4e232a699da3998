/** HTTP client connection to servers that corrupt, duplicate, truncate or delay responses. */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { test } from 'node:test';
import { HttpConnection, openSocket, type ExchangeResult } from '../../src/mesh/httpConnection.js';
import { getHeader } from '../../src/mesh/headers.js';

const REQUEST = { method: 'GET', path: '/x', headers: ['Host', 'h'], body: Buffer.alloc(0) };

function buildResponse(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

async function withServer(
  onSocket: (socket: Socket) => void,
  run: (connection: HttpConnection) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    onSocket(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const socket = await openSocket({ host: '127.0.0.1', port }, 1000);
  assert.ok(typeof socket !== 'string');
  const connection = new HttpConnection(socket, () => {});
  try {
    await run(connection);
  } finally {
    connection.abort('test ended');
    for (const open of sockets) open.destroy();
    server.close();
  }
}

function exchange(connection: HttpConnection, id = '1'): Promise<ExchangeResult> {
  return connection.exchange(REQUEST, (headers) => getHeader(headers, 'id') === id);
}

interface Case {
  readonly name: string;
  readonly bytes: string;
  readonly end?: 'fin' | 'reset';
  /** Expected body; undefined when the exchange must fail. */
  readonly body: string | undefined;
  readonly canReuse: boolean;
}

const HEAD = 'HTTP/1.1 200 OK\r\nId: 1\r\n';

const CASES: readonly Case[] = [
  { name: 'a plain response', bytes: buildResponse('1', 'own'), body: 'own', canReuse: true },
  {
    name: 'a chunked body',
    bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n`,
    body: 'own',
    canReuse: true,
  },
  {
    name: 'a body that ends with the connection',
    bytes: `${HEAD}\r\nown`,
    end: 'fin',
    body: 'own',
    canReuse: false,
  },
  {
    name: 'a body without a length whose connection is reset',
    bytes: `${HEAD}\r\now`,
    end: 'reset',
    body: undefined,
    canReuse: false,
  },
  {
    name: 'a truncated body',
    bytes: `${HEAD}Content-Length: 9\r\n\r\nown`,
    end: 'fin',
    body: undefined,
    canReuse: false,
  },
  {
    name: 'truncated chunks',
    bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n`,
    end: 'fin',
    body: undefined,
    canReuse: false,
  },
  {
    name: 'a non-numeric chunk size',
    bytes: `${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\nzz\r\n\r\n`,
    body: undefined,
    canReuse: false,
  },
  {
    name: 'bytes that are not an HTTP response',
    bytes: '\u0000\u0001junk\r\n\r\n',
    body: undefined,
    canReuse: false,
  },
  {
    name: 'two conflicting lengths',
    bytes: `${HEAD}Content-Length: 3\r\nContent-Length: 4\r\n\r\nown`,
    body: undefined,
    canReuse: false,
  },
  {
    name: 'a non-numeric length',
    bytes: `${HEAD}Content-Length: many\r\n\r\nown`,
    body: undefined,
    canReuse: false,
  },
  {
    name: 'a control character in a header',
    bytes: `${HEAD}Note: a\u0001b\r\nContent-Length: 3\r\n\r\nown`,
    body: undefined,
    canReuse: false,
  },
  {
    name: 'a line end within a header',
    bytes: `${HEAD}Note: a\rb\r\nContent-Length: 3\r\n\r\nown`,
    body: undefined,
    canReuse: false,
  },
  {
    name: 'a header name that is no token',
    bytes: `${HEAD}No(te): a\r\nContent-Length: 3\r\n\r\nown`,
    body: undefined,
    canReuse: false,
  },
  {
    name: 'a response to another request before the matching one',
    bytes: buildResponse('0', 'foreign') + buildResponse('1', 'own'),
    body: 'own',
    canReuse: false,
  },
  {
    name: 'a duplicate response',
    bytes: buildResponse('1', 'own') + buildResponse('1', 'again'),
    body: 'own',
    canReuse: false,
  },
  {
    name: 'an interim response',
    bytes: `HTTP/1.1 103 Early Hints\r\n\r\n${buildResponse('1', 'own')}`,
    body: 'own',
    canReuse: true,
  },
  {
    name: 'an interim response with a length',
    bytes: `HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n${buildResponse('1', 'own')}`,
    body: 'own',
    canReuse: true,
  },
  {
    name: 'a 304 with the length of the body that it leaves out',
    bytes: 'HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 9\r\n\r\n',
    end: 'fin',
    body: '',
    canReuse: true,
  },
  {
    name: 'a 204 with a length',
    bytes: 'HTTP/1.1 204 No Content\r\nId: 1\r\nContent-Length: 9\r\n\r\n',
    end: 'fin',
    body: '',
    canReuse: true,
  },
  {
    name: 'a 204 without a length',
    bytes: 'HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n',
    body: '',
    canReuse: true,
  },
  {
    name: 'Connection: close',
    bytes: `${HEAD}Connection: close\r\nContent-Length: 3\r\n\r\nown`,
    body: 'own',
    canReuse: false,
  },
  { name: 'a reset without a response', bytes: '', end: 'reset', body: undefined, canReuse: false },
];
for (const { name, bytes, end, body, canReuse } of CASES) {
  test(`a connection reads ${name}`, async () => {
    const onSocket = (socket: Socket) => {
      socket.once('data', () => {
        if (bytes !== '') socket.write(bytes, 'latin1');
        setTimeout(() => {
          if (end === 'fin') socket.end();
          if (end === 'reset') socket.resetAndDestroy();
        }, 20);
      });
    };
    await withServer(onSocket, async (connection) => {
      const result = await exchange(connection);
      assert.equal(result.kind === 'response' ? result.response.body.toString() : undefined, body);
      if (result.kind === 'broken') assert.equal(result.wasSent, true);
      assert.equal(connection.canReuse(), canReuse);
    });
  });
}

test('a body without a length that is followed by a reset is not complete', async () => {
  for (let round = 0; round < 20; round += 1) {
    const onSocket = (socket: Socket) => {
      socket.once('data', () => {
        socket.write(`${HEAD}\r\now`, () => socket.resetAndDestroy());
      });
    };
    await withServer(onSocket, async (connection) => {
      const pending = exchange(connection);
      // Blocks the event loop, so that the bytes and the reset are read together.
      const untilMs = performance.now() + 3;
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
      while (performance.now() < untilMs);
      assert.equal((await pending).kind, 'broken');
    });
  }
});

test('a connection discards the late second response of an earlier request', async () => {
  let count = 0;
  const onSocket = (socket: Socket) => {
    socket.on('data', () => {
      count += 1;
      if (count === 1) socket.write(buildResponse('1', 'first'));
      else socket.write(buildResponse('1', 'first again') + buildResponse('2', 'second'));
    });
  };
  await withServer(onSocket, async (connection) => {
    await exchange(connection, '1');
    const second = await exchange(connection, '2');
    assert.equal(second.kind === 'response' && second.response.body.toString(), 'second');
    assert.equal(connection.canReuse(), false);
  });
});

test('bytes on an idle connection close it, and nothing is sent on it', async () => {
  let received = 0;
  const onSocket = (socket: Socket) => {
    socket.on('data', () => {
      received += 1;
      socket.write(buildResponse('1', 'own'));
      setTimeout(() => socket.write(buildResponse('1', 'extra')), 20);
    });
  };
  await withServer(onSocket, async (connection) => {
    await exchange(connection);
    await new Promise((resolve) => {
      setTimeout(resolve, 80);
    });
    const second = await exchange(connection, '2');
    assert.deepEqual(second, { kind: 'broken', reason: 'connection closed', wasSent: false });
    assert.equal(received, 1);
  });
});

const BAD_ADDRESSES = [
  { host: '127.0.0.1', port: 99_999 },
  { host: '127.0.0.1', port: -1 },
  { host: '127.0.0.1', port: 0.5 },
  { host: '127.0.0.1', port: 1e308 },
  { host: '127.0.0.1', port: NaN },
  { host: '127.0.0.1', port: '{}' as unknown as number },
  { host: 7 as unknown as string, port: 9000 },
];
for (const address of BAD_ADDRESSES) {
  test(`a socket to ${address.host}:${address.port} fails without an exception`, async () => {
    assert.equal(typeof (await openSocket(address, 1000)), 'string');
  });
}
