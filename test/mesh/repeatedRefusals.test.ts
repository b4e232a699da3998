/** Refusals and other responses that an instance writes once more for a later request. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { InstanceClient } from '../../src/mesh/instanceClient.js';
import type { CallMetadata, HttpRequest, RunResult } from '../../src/mesh/model.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { InstanceServer, type InstanceFault } from '../../standins/mesh/instanceServer.js';
import { MeshFleet, sendToHost, wait } from '../../standins/mesh/meshFleet.js';

const DEADLINE_MS = 10_000;

function buildMetadata(requestId: string): CallMetadata {
  return {
    attemptId: requestId,
    requestId,
    route: brandText('route'),
    instanceId: brandText('i-0'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs: performance.now() + DEADLINE_MS,
    objectiveAtMs: performance.now() + DEADLINE_MS,
  };
}

function buildRequest(requestId: string): HttpRequest {
  const headers = ['Host', 'h'];
  if (requestId !== '') headers.push(HEADER_NAMES.requestId, requestId);
  return { method: 'GET', path: '/x', headers, body: Buffer.alloc(0) };
}

function buildResponse(status: number, headers: readonly string[], body = ''): string {
  const lines = [`HTTP/1.1 ${status} Status`, ...headers, `Content-Length: ${body.length}`];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

const NOT_EXECUTED = `${HEADER_NAMES.notExecuted}: 1`;
const SIGNATURE = `${HEADER_NAMES.signature}: other`;
const REFUSAL = buildResponse(503, [NOT_EXECUTED]);

function formatId(id: string): string {
  return `${HEADER_NAMES.requestId}: ${id}`;
}

function buildOwn(id: string): string {
  return buildResponse(200, [formatId(id), SIGNATURE], `own of ${id}`);
}

function buildScript(write: (socket: Socket, id: string) => void): InstanceFault {
  return { kind: 'script', write };
}

type Exchange = (id: string, fault: InstanceFault) => Promise<RunResult>;

async function withInstance(
  run: (exchange: Exchange, instance: InstanceServer) => Promise<void>,
): Promise<void> {
  const instance = new InstanceServer('i-0');
  const port = await instance.listen();
  const client = new InstanceClient({ host: '127.0.0.1', port }, HEADER_NAMES, () => {});
  try {
    await run((id, fault) => {
      instance.fault = fault;
      return client.run(buildRequest(id), buildMetadata(id), new Cancellation());
    }, instance);
  } finally {
    client.close();
    await instance.close();
  }
}

const UNIDENTIFIED = [
  { name: 'a 503', text: REFUSAL },
  { name: 'a 421', text: buildResponse(421, [NOT_EXECUTED]) },
  { name: 'a 429', text: buildResponse(429, [NOT_EXECUTED]) },
  { name: 'a 400', text: buildResponse(400, [NOT_EXECUTED]) },
  { name: 'a failure', text: buildResponse(500, [SIGNATURE], 'failed') },
  { name: 'a success', text: buildResponse(200, [SIGNATURE], 'other') },
] as const;

for (const { name, text } of UNIDENTIFIED) {
  test(`${name} without an identifier on a kept connection is no response`, async () => {
    await withInstance(async (exchange, instance) => {
      assert.equal((await exchange('r-1', { kind: 'none' })).kind, 'answered');
      const fault = buildScript((socket) => socket.write(text, 'latin1'));
      assert.equal((await exchange('r-2', fault)).kind, 'unknown');
      assert.deepEqual(
        instance.runs.map(({ requestId }) => requestId),
        ['r-1', 'r-2'],
      );
    });
  });
}

test('a refusal without an identifier on a new connection is a refusal', async () => {
  await withInstance(async (exchange) => {
    assert.equal((await exchange('r-1', { kind: 'shed' })).kind, 'notRun');
    assert.equal((await exchange('r-2', { kind: 'shed' })).kind, 'notRun');
  });
});

test('an instance that omits identifiers is believed after one unknown response', async () => {
  await withInstance(async (exchange) => {
    await exchange('r-1', { kind: 'none' });
    const kinds: string[] = [];
    for (const id of ['r-2', 'r-3', 'r-4']) {
      kinds.push((await exchange(id, { kind: 'shed' })).kind);
    }
    assert.deepEqual(kinds, ['unknown', 'notRun', 'notRun']);
  });
});

test('a refusal without an identifier after a response to another request is not one', async () => {
  await withInstance(async (exchange) => {
    const text = buildResponse(503, [NOT_EXECUTED, formatId('r-0')]) + REFUSAL;
    const fault = buildScript((socket) => socket.write(text, 'latin1'));
    assert.equal((await exchange('r-1', fault)).kind, 'unknown');
  });
});

test('a refusal with the identifier of an earlier request is skipped', async () => {
  await withInstance(async (exchange) => {
    await exchange('r-1', { kind: 'none' });
    const repeated = buildResponse(503, [NOT_EXECUTED, formatId('r-1')]);
    const fault = buildScript((socket, id) => {
      socket.write(repeated.slice(0, 30), 'latin1');
      setTimeout(() => socket.write(repeated.slice(30) + buildOwn(id), 'latin1'), 20);
    });
    const result = await exchange('r-2', fault);
    assert.equal(result.kind === 'answered' && result.response.body.toString(), 'own of r-2');
  });
});

test('a refusal that arrives on an idle connection is not taken for a response', async () => {
  for (const length of [1, 12, 40, REFUSAL.length]) {
    await withInstance(async (exchange, instance) => {
      let isClosed = false;
      const fault = buildScript((socket, id) => {
        socket.once('close', () => {
          isClosed = true;
        });
        socket.write(buildOwn(id), 'latin1');
        setTimeout(() => socket.write(REFUSAL.slice(0, length), 'latin1'), 20);
      });
      assert.equal((await exchange('r-1', fault)).kind, 'answered');
      while (!isClosed) await wait(2);
      assert.equal((await exchange('r-2', { kind: 'none' })).kind, 'answered');
      assert.equal(instance.runs.length, 2);
    });
  }
});

test('a refusal right behind a response is not taken for that of the next request', async () => {
  await withInstance(async (exchange, instance) => {
    const fault = buildScript((socket, id) => socket.write(buildOwn(id) + REFUSAL, 'latin1'));
    assert.equal((await exchange('r-1', fault)).kind, 'answered');
    assert.equal((await exchange('r-2', { kind: 'none' })).kind, 'answered');
    assert.equal(instance.runs.length, 2);
  });
});

test('the start of a refusal right behind a response is not joined with the next one', async () => {
  const start = `HTTP/1.1 503 Status\r\n${NOT_EXECUTED}\r\nX-Note: `;
  for (const text of [start, 'HTTP/1.1 503 Status\r\n', 'H']) {
    await withInstance(async (exchange, instance) => {
      const first = buildScript((socket, id) => socket.write(buildOwn(id) + text, 'latin1'));
      assert.equal((await exchange('r-1', first)).kind, 'answered');
      const second = buildScript((socket, id) => socket.write(buildOwn(id), 'latin1'));
      assert.equal((await exchange('r-2', second)).kind, 'answered');
      assert.equal(instance.runs.length, 2);
    });
  }
});

const CUT_STARTS = [
  { name: 'a 503', start: `HTTP/1.1 503 Status\r\n${NOT_EXECUTED}\r\nX-Note: a` },
  { name: 'a 421', start: `HTTP/1.1 421 Status\r\n${NOT_EXECUTED}\r\nX-Note: ` },
  { name: 'a success', start: 'HTTP/1.1 200 OK\r\nX-Note: ' },
  { name: 'the status line of a success', start: 'HTTP/1.1 200 O' },
] as const;

for (const { name, start } of CUT_STARTS) {
  test(`${name} that is cut and joined with the response behind it is unknown`, async () => {
    await withInstance(async (exchange) => {
      await exchange('r-1', { kind: 'none' });
      const fault = buildScript((socket, id) => {
        const own = buildResponse(500, [formatId(id), SIGNATURE], 'failed');
        socket.write(start + own, 'latin1');
      });
      assert.equal((await exchange('r-2', fault)).kind, 'unknown');
    });
  });
}

test('a request without an identifier is sent on a new connection', async () => {
  await withInstance(async (exchange) => {
    const sockets = new Set<Socket>();
    const fault = buildScript((socket, id) => {
      sockets.add(socket);
      const headers = id === 'undefined' ? [NOT_EXECUTED] : [formatId(id), SIGNATURE];
      socket.write(buildResponse(id === 'undefined' ? 400 : 200, headers), 'latin1');
    });
    assert.equal((await exchange('r-1', fault)).kind, 'answered');
    assert.equal((await exchange('', fault)).kind, 'notRun');
    assert.equal(sockets.size, 2);
  });
});

test('an unsafe request whose instance writes an earlier refusal again runs once', async (t) => {
  const fleet = new MeshFleet();
  await fleet.start([{ prefix: '/book/', kind: 'unsafe', timeoutMs: DEADLINE_MS }]);
  try {
    const faulty = await fleet.addHost('pads');
    await fleet.addHost('pads');
    await fleet.waitForRecords();
    // Disables exploration, which could skip the faulty instance.
    t.mock.method(Math, 'random', () => 0.5);
    const send = (id: string) =>
      sendToHost(faulty, { path: '/book/', id, method: 'POST', deadlineMs: DEADLINE_MS });
    assert.equal((await send('b-1')).status, 200);
    faulty.instance.fault = buildScript((socket) => socket.write(REFUSAL, 'latin1'));
    assert.equal((await send('b-2')).status, 502);
    const runs = fleet.hosts.flatMap(({ instance }) =>
      instance.runs.filter(({ requestId }) => requestId === 'b-2'),
    );
    assert.equal(runs.length, 1);
  } finally {
    await fleet.close();
  }
});
