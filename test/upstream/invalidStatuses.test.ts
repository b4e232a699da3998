/**
 * Responses of upstreams whose status is not a number from 100 to 599, and interim responses
 * without a final one. The request may have run, so it must end as unknown: none of them may reach
 * a caller as a response, and none may end a process.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import {
  INVALID_INTERIMS,
  INVALID_STATUS_LINES,
  UNDICI_VERSIONS,
  UNFINISHED_INTERIMS,
} from '../../standins/invalidStatusLines.js';
import { buildAnnouncement, buildCall, createInstanceSide, readText } from './support.js';

const BODY = 'done';

/** Sends a call to an upstream that responds with `start` and the rest of a sound response. */
async function sendCall(t: TestContext, start: string, hasRest: boolean, timeoutMs: number) {
  const sockets = new Set<Socket>();
  const call = buildCall({}, timeoutMs);
  const rest = `lycheelane-request: ${call.requestId}\r\ncontent-length: 4\r\n\r\n${BODY}`;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => socket.write(hasRest ? `${start}${rest}` : start, 'latin1'));
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  t.after(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { table, dispatcher } = createInstanceSide(t);
  const { port } = server.address() as AddressInfo;
  assert.ok(table.record(buildAnnouncement({ port })).isOk());
  return dispatcher.dispatch(call);
}

for (const status of [200, 404, 500, 599]) {
  test(`the status ${status} of an upstream is passed on`, async (t) => {
    const result = await sendCall(t, `HTTP/1.1 ${status} X\r\n`, true, 5000);
    assert.ok(result.kind === 'answered');
    assert.equal(result.status, status);
    assert.equal(await readText(result.body), BODY);
  });
}

for (const { name, start } of [...INVALID_STATUS_LINES, ...INVALID_INTERIMS]) {
  const options = UNDICI_VERSIONS.has(name) ? { todo: 'KNOWN-RED' } : {};
  test(`${name} of an upstream is no response`, options, async (t) => {
    const startedAtMs = performance.now();
    const result = await sendCall(t, start, true, 5000);
    assert.equal(result.kind, 'unknown', JSON.stringify(result));
    assert.ok(performance.now() - startedAtMs < 4000, 'the fault is seen before the deadline');
  });
}

for (const { name, start } of UNFINISHED_INTERIMS) {
  test(`${name} of an upstream, and nothing after it, ends at the deadline`, async (t) => {
    const result = await sendCall(t, start, false, 200);
    assert.equal(result.kind, 'unknown', JSON.stringify(result));
  });
}
