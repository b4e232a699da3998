import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import type { AttemptResult } from '../../src/types/calls.js';
import { BEHAVIOURS, buildBody, respond, type Behaviour } from '../../standins/faultyResponses.js';
import { buildAnnouncement, buildCall, createInstanceSide, readText, SERVICE } from './support.js';

/** Starts an upstream that applies the next scripted behaviour to each request and records it. */
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

// Guards against an answer that reaches another call, a truncated answer that appears complete,
// "not run" without proof, and a slot that is never freed, for any order of faults on shared
// connections.
test('calls to a faulty upstream report the right outcome and free their slots', async (t) => {
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
