import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import type { AttemptResult } from '../../src/types/calls.js';
import { buildAnnouncement, buildCall, createInstanceSide, readText, SERVICE } from './support.js';

/** What the upstream does with one request. */
const BEHAVIOURS = [
  'answer',
  'answerWithoutId',
  'answerInChunks',
  'answerAfterHints',
  'answerTwice',
  'answerWithRest',
  'answerOther',
  'breakHead',
  'breakBody',
  'breakChunks',
  'shedWithProof',
  'shedWithoutId',
  'close',
  'reset',
] as const;
type Behaviour = (typeof BEHAVIOURS)[number];

const buildBody = (id: string) => `${id} ${'x'.repeat(200)}`;

function formatAnswer(id: string, status: string, body: string, extra: readonly string[]): string {
  const lines = [`HTTP/1.1 ${status}`, ...extra, `content-length: ${body.length}`, '', body];
  return lines.join('\r\n');
}

function formatChunks(id: string): string {
  const body = buildBody(id);
  const head = ['HTTP/1.1 200 OK', `lycheelane-request: ${id}`, 'transfer-encoding: chunked', ''];
  return [...head, body.length.toString(16), body, '0', '', ''].join('\r\n');
}

function respond(socket: Socket, id: string, behaviour: Behaviour): void {
  const named = [`lycheelane-request: ${id}`];
  const whole = formatAnswer(id, '200 OK', buildBody(id), named);
  const proof = 'lycheelane-outcome: not-run';
  switch (behaviour) {
    case 'answer':
      socket.write(whole);
      return;
    case 'answerWithoutId':
      socket.write(formatAnswer(id, '200 OK', buildBody(id), []));
      return;
    case 'answerInChunks':
      socket.write(formatChunks(id));
      return;
    case 'answerAfterHints':
      socket.write(`HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${whole}`);
      return;
    case 'answerTwice':
      socket.write(whole);
      setTimeout(() => socket.write(whole), 2);
      return;
    case 'answerWithRest':
      socket.write(`${whole}rest`);
      return;
    case 'answerOther':
      socket.write(formatAnswer(id, '200 OK', buildBody('other'), ['lycheelane-request: other']));
      return;
    case 'breakHead':
      socket.end(whole.slice(0, 30));
      return;
    case 'breakBody':
      socket.end(whole.slice(0, -20));
      return;
    case 'breakChunks':
      socket.end(formatChunks(id).slice(0, -20));
      return;
    case 'shedWithProof':
      socket.write(formatAnswer(id, '503 Busy', '', [...named, proof]));
      return;
    case 'shedWithoutId':
      socket.write(formatAnswer(id, '503 Busy', '', [proof]));
      return;
    case 'close':
      socket.end();
      return;
    case 'reset':
      socket.resetAndDestroy();
      return;
    default:
      behaviour satisfies never;
  }
}

/** Starts an upstream that takes the next behaviour for each request and notes which it got. */
async function startFaultyUpstream(t: TestContext) {
  const script: Behaviour[] = [];
  const received = new Map<string, Behaviour>();
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
      const end = text.indexOf('\r\n\r\npad 7');
      if (end < 0) return;
      const id = /lycheelane-request: (\S+)/.exec(text)?.[1] ?? '';
      text = text.slice(end + '\r\n\r\npad 7'.length);
      const behaviour = script.shift() ?? 'answer';
      received.set(id, behaviour);
      respond(socket, id, behaviour);
    });
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  t.after(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return { port: (server.address() as AddressInfo).port, script, received };
}

async function checkResult(id: string, result: AttemptResult, behaviour: Behaviour | undefined) {
  if (result.kind === 'notRun') {
    assert.ok(
      behaviour === undefined || behaviour === 'shedWithProof',
      `false notRun: ${behaviour}`,
    );
    return;
  }
  if (result.kind === 'unknown') return;
  const text = await readText(result.body).catch(() => undefined);
  if (text === undefined) return;
  if (result.status === 503) assert.equal(behaviour, 'shedWithoutId');
  else assert.equal(text, buildBody(id));
}

// Guards against an answer that reaches another call or passes for whole, "not run" without proof,
// and a slot that is never freed, for any order of faults over shared connections.
test('calls to a faulty upstream end truthfully and free their slots', async (t) => {
  const { port, script, received } = await startFaultyUpstream(t);
  const { table, dispatcher } = createInstanceSide(t);
  assert.ok(table.record(buildAnnouncement({ port, slots: 3 })).isOk());
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.constantFrom(...BEHAVIOURS), { minLength: 1, maxLength: 8 }),
      async (behaviours) => {
        script.push(...behaviours);
        const calls = behaviours.map(() => buildCall());
        await Promise.all(
          calls.map(async (call) => {
            const result = await dispatcher.dispatch(call);
            await checkResult(call.requestId, result, received.get(call.requestId));
          }),
        );
        script.length = 0;
      },
    ),
    { seed: 20_261_204, numRuns: 150 },
  );
  assert.equal(dispatcher.getLoad(SERVICE)?.busy, 0);
  assert.equal(dispatcher.getCounts().abandoned, 0);
});
