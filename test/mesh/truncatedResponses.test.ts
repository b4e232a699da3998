/** Responses of instances that are cut at each of their bytes, or whose framing is in doubt. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { InstanceClient } from '../../src/mesh/instanceClient.js';
import type { CallMetadata, HttpRequest, RunResult } from '../../src/mesh/model.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import {
  CUT_ENDINGS,
  InstanceServer,
  writeCut,
  type CutEnding,
  type InstanceFault,
} from '../../standins/mesh/instanceServer.js';

const ID = 'cut-1';
const BODY = 'the whole body';
const START = 'HTTP/1.1 200 OK\r\n';
const IDENTITY = `${HEADER_NAMES.requestId}: ${ID}\r\n${HEADER_NAMES.signature}: signed\r\n`;
const SIZED = `${START}${IDENTITY}Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
const CHUNKED =
  `${START}${IDENTITY}Transfer-Encoding: chunked\r\n\r\n` +
  'a\r\nthe whole \r\n4;x=y\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n';

interface Shape {
  readonly name: string;
  readonly text: string;
}

/** Responses whose end is known before the connection closes. */
const SHAPES: readonly Shape[] = [
  { name: 'with a length', text: SIZED },
  { name: 'in chunks, with a trailer', text: CHUNKED },
  {
    name: 'with a length, in lines that end with a bare line feed',
    text: SIZED.replaceAll('\r\n', '\n'),
  },
  { name: 'after an interim response', text: `HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n${SIZED}` },
  {
    name: 'with a length and Connection: close',
    text: SIZED.replace('\r\n', '\r\nConnection: close\r\n'),
  },
  {
    name: 'without a body, in lines that end with a bare line feed',
    text: `${START}${IDENTITY}Content-Length: 0\r\n\r\n`.replaceAll('\r\n', '\n'),
  },
];

const ENDLESS_BODY = `${START}${IDENTITY}Connection: close\r\n\r\n${BODY}`;
const ENDLESS_BODY_HEAD_LENGTH = ENDLESS_BODY.length - BODY.length;

function buildCut(text: string, ending: CutEnding): InstanceFault {
  return { kind: 'script', write: (socket) => writeCut(socket, text, ending) };
}

function buildMetadata(): CallMetadata {
  return {
    attemptId: ID,
    requestId: ID,
    route: brandText('route'),
    instanceId: brandText('i-0'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs: performance.now() + 20_000,
    objectiveAtMs: performance.now() + 20_000,
  };
}

const REQUEST: HttpRequest = {
  method: 'GET',
  path: '/x',
  headers: ['Host', 'h', HEADER_NAMES.requestId, ID],
  body: Buffer.alloc(0),
};

async function withInstance(
  run: (exchange: (fault: InstanceFault) => Promise<RunResult>) => Promise<void>,
): Promise<void> {
  const instance = new InstanceServer('i-0');
  const port = await instance.listen();
  const client = new InstanceClient({ host: '127.0.0.1', port }, HEADER_NAMES, () => {});
  try {
    await run((fault) => {
      instance.fault = fault;
      return client.run(REQUEST, buildMetadata(), new Cancellation());
    });
  } finally {
    client.close();
    await instance.close();
  }
}

for (const { name, text } of SHAPES) {
  test(`a response ${name} that is cut at any byte is unknown to the client`, async () => {
    await withInstance(async (exchange) => {
      for (const ending of CUT_ENDINGS) {
        for (let length = 0; length < text.length; length += 1) {
          const result = await exchange(buildCut(text.slice(0, length), ending));
          assert.equal(result.kind, 'unknown', `${length} bytes, then ${ending}`);
        }
      }
    });
  });

  test(`a response ${name} that arrives byte by byte is read as a whole`, async () => {
    await withInstance(async (exchange) => {
      const write = (socket: Socket, written = 0) => {
        if (written >= text.length) return;
        socket.write(text.charAt(written), 'latin1');
        setImmediate(write, socket, written + 1);
      };
      const result = await exchange({ kind: 'script', write: (socket) => write(socket) });
      const expected = /content-length: 0/i.test(text) ? '' : BODY;
      assert.equal(result.kind === 'answered' && result.response.body.toString(), expected);
    });
  });
}

test('a response on a kept connection that is cut at any byte is unknown', async () => {
  for (const { text } of SHAPES.slice(0, 2)) {
    for (let length = 0; length < text.length; length += 1) {
      await withInstance(async (exchange) => {
        assert.equal((await exchange({ kind: 'none' })).kind, 'answered');
        const result = await exchange(buildCut(text.slice(0, length), 'fin'));
        assert.equal(result.kind, 'unknown', `${length} bytes`);
      });
    }
  }
});

test('a body without a length is whole at the end of the connection, not at a reset', async () => {
  await withInstance(async (exchange) => {
    for (let length = 0; length <= ENDLESS_BODY.length; length += 1) {
      const text = ENDLESS_BODY.slice(0, length);
      const reset = await exchange(buildCut(text, 'reset'));
      assert.equal(reset.kind, 'unknown', `${length} bytes, then reset`);
      const ended = await exchange(buildCut(text, 'fin'));
      const isWholeHead = length >= ENDLESS_BODY_HEAD_LENGTH;
      assert.equal(ended.kind, isWholeHead ? 'answered' : 'unknown', `${length} bytes, then fin`);
      if (ended.kind !== 'answered') continue;
      const expected = BODY.slice(0, length - ENDLESS_BODY_HEAD_LENGTH);
      assert.equal(ended.response.body.toString(), expected);
    }
  });
});

/** Heads whose framing is in doubt; each would let a cut body pass for a whole one. */
const DOUBTFUL_HEADS = [
  { name: 'a status line cut short', head: `HTTP/1.1 20\r\n${IDENTITY}Content-Length: 3` },
  { name: 'a status of four digits', head: `HTTP/1.1 2000 OK\r\n${IDENTITY}Content-Length: 3` },
  { name: 'a status line without a status', head: `HTTP/1.1\r\n${IDENTITY}Content-Length: 3` },
  { name: 'a length whose name is cut short', head: `${START}${IDENTITY}Content-Len` },
  { name: 'a length whose name ends with a space', head: `${START}${IDENTITY}Content-Length : 30` },
  { name: 'a length without a value', head: `${START}${IDENTITY}Content-Length:` },
  { name: 'a line without a name', head: `${START}${IDENTITY}: 30` },
  { name: 'a folded length', head: `${START}${IDENTITY}Content-Length: 3\r\n 0` },
  { name: 'a folded header', head: `${START}${IDENTITY}X-A: b\r\n Content-Length: 30` },
  { name: 'a list of lengths', head: `${START}${IDENTITY}Content-Length: 3, 3` },
  { name: 'a signed length', head: `${START}${IDENTITY}Content-Length: +3` },
  {
    name: 'two lengths',
    head: `${START}${IDENTITY}Content-Length: 3\r\nContent-Length: 30`,
  },
  {
    name: 'two lengths, one in another notation',
    head: `${START}${IDENTITY}Content-Length: 3\r\nContent-Length: 0x3`,
  },
  {
    name: 'a length and chunks',
    head: `${START}${IDENTITY}Content-Length: 30\r\nTransfer-Encoding: chunked`,
    body: '3\r\nthe\r\n0\r\n\r\n',
  },
  {
    name: 'an encoding before chunks',
    head: `${START}${IDENTITY}Transfer-Encoding: gzip, chunked`,
    body: '3\r\nthe\r\n0\r\n\r\n',
  },
  {
    name: 'chunks and another encoding',
    head: `${START}${IDENTITY}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity`,
    body: '3\r\nthe\r\n0\r\n\r\n',
  },
  {
    name: 'an unknown encoding',
    head: `${START}${IDENTITY}Transfer-Encoding: chunke`,
    body: '3\r\nthe\r\n0\r\n\r\n',
  },
] as const;

for (const { name, head, ...rest } of DOUBTFUL_HEADS) {
  test(`a response with ${name} is unknown to the client`, async () => {
    await withInstance(async (exchange) => {
      const body = 'body' in rest ? rest.body : 'the';
      const result = await exchange(buildCut(`${head}\r\n\r\n${body}`, 'fin'));
      assert.equal(result.kind, 'unknown');
    });
  });
}
