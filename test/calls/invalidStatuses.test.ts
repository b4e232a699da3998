/**
 * Responses of other nodes whose status is not a number from 100 to 599: the request may have run,
 * so its caller gets 502 and none of them as a response.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  INVALID_INTERIMS,
  INVALID_STATUS_LINES,
  UNDICI_VERSIONS,
} from '../../standins/invalidStatusLines.js';
import { formatAnswer, send, startEntry } from './fakes.js';
import { startRawPeer } from './rawPeer.js';

const BODY = 'done';

async function sendThrough(start: string) {
  const peer = await startRawPeer('n1', (socket, { requestId }) => {
    const rest = `lycheelane-request: ${requestId}\r\ncontent-length: 4\r\n\r\n${BODY}`;
    socket.write(`${start}${rest}`, 'latin1');
  });
  const entry = await startEntry([peer.view], { route: { repeatability: 'once' } });
  return send(entry.port);
}

for (const status of [200, 404, 500, 599]) {
  test(`the status ${status} of a node is passed on`, async () => {
    const answer = await sendThrough(`HTTP/1.1 ${status} X\r\n`);
    assert.equal(answer.status, status);
    assert.equal(answer.text, BODY);
  });
}

for (const { name, start } of [...INVALID_STATUS_LINES, ...INVALID_INTERIMS]) {
  const options = UNDICI_VERSIONS.has(name) ? { todo: 'KNOWN-RED' } : {};
  test(`${name} of a node is no response`, options, async () => {
    assert.match(formatAnswer(await sendThrough(start)), /^502 unknown /);
  });
}
