import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SILENT_OBSERVER, type CallObserver } from '../../src/core/calls/observer.js';
import { buildView, describe, send, startEntry } from './fakes.js';
import {
  findClosedPort,
  formatNotRun,
  formatResponse,
  startRawPeer,
  type Script,
} from './rawPeer.js';

interface FaultCase {
  readonly fault: string;
  readonly script: Script;
  readonly expected: string;
  readonly deadlineMs?: number;
}

const CASES: readonly FaultCase[] = [
  {
    fault: 'a reset after the request was sent',
    script: (socket) => socket.resetAndDestroy(),
    expected: '502 unknown connection-lost',
  },
  {
    fault: 'a close without a response',
    script: (socket) => socket.end(),
    expected: '502 unknown connection-lost',
  },
  {
    fault: 'the response of another request',
    script: (socket) => socket.write(formatResponse('other-request', 'not yours')),
    expected: '502 unknown mismatched-answer',
  },
  {
    fault: 'a refusal of another request',
    script: (socket) =>
      socket.write(formatResponse('other-request', '', formatNotRun('overloaded'), 429)),
    expected: '502 unknown mismatched-answer',
  },
  {
    fault: 'a refusal without a request id, as from an HTTP parser',
    script: (socket) => socket.write('HTTP/1.1 400 X\r\ncontent-length: 0\r\n\r\n'),
    expected: '502 unknown mismatched-answer',
  },
  {
    fault: 'bytes that are not HTTP',
    script: (socket) => socket.write('hello\r\n\r\n'),
    expected: '502 unknown connection-lost',
  },
  {
    fault: 'no answer before the deadline',
    script: () => {},
    expected: '504 unknown timeout',
    deadlineMs: 40,
  },
  {
    fault: 'a refusal whose body breaks off',
    script: (socket, { requestId }) => {
      const text = formatResponse(requestId, 'overloaded', formatNotRun('overloaded'), 429);
      socket.end(text.slice(0, -4));
    },
    expected: '429 not-run overloaded',
  },
];

// Guards against telling a caller "not run" without proof, and against a second dispatch: the
// peer counts requests, so a resend by undici or by the entry side would show.
for (const { fault, script, expected, deadlineMs } of CASES) {
  test(`once: ${fault} is ${expected} and is not sent again`, async () => {
    const peer = await startRawPeer('n1', script);
    const spare = await startRawPeer('n2', script);
    const views = expected.includes('not-run') ? [peer.view] : [peer.view, spare.view];
    const entry = await startEntry(views);
    const headers = deadlineMs ? { 'lycheelane-deadline-ms': deadlineMs } : {};
    const answer = await send(entry.port, { headers });
    assert.equal(describe(answer), expected);
    assert.equal(peer.count() + spare.count(), 1);
  });
}

// Guards against `unknown` where the connection was never made.
test('a refused connection is not-run connect-failed', async () => {
  const view = buildView({ nodeId: 'n1', callPort: await findClosedPort() });
  const entry = await startEntry([view]);
  const answer = await send(entry.port);
  assert.equal(describe(answer), '503 not-run connect-failed');
});

// Guards against undici sending a request again when an idle connection breaks under it.
test('a reset of a reused connection is unknown and the request arrives once', async () => {
  const peer = await startRawPeer('n1', (socket, { requestId, index }) => {
    if (index === 0) socket.write(formatResponse(requestId, 'first'));
    else socket.resetAndDestroy();
  });
  const entry = await startEntry([peer.view]);
  const first = await send(entry.port, { method: 'GET' });
  const second = await send(entry.port, { method: 'GET' });
  assert.equal(first.text, 'first');
  assert.equal(describe(second), '502 unknown connection-lost');
  assert.equal(peer.count(), 2);
  assert.equal(peer.countConnections(), 1);
});

// Guards against a cut response that passes for a complete one (G4).
for (const head of ['content-length: 10', 'transfer-encoding: chunked']) {
  test(`a response body that breaks off (${head}) breaks the caller's connection`, async () => {
    const peer = await startRawPeer('n1', (socket, { requestId }) => {
      const body = head.startsWith('t') ? '4\r\nhalf\r\n' : 'half';
      socket.end(`HTTP/1.1 200 X\r\n${head}\r\nlycheelane-request: ${requestId}\r\n\r\n${body}`);
    });
    const outcomes: string[] = [];
    const observer: CallObserver = {
      ...SILENT_OBSERVER,
      record: (_route, outcome) => outcomes.push(outcome.kind),
    };
    const entry = await startEntry([peer.view], { observer });
    const answer = await send(entry.port);
    await entry.stop(1000);
    assert.equal(answer.isComplete, false);
    assert.deepEqual(outcomes, ['unknown']);
  });
}

// Guards against a late or repeated response that reaches the next caller on the connection (G4).
test('a response sent twice does not answer the next request', async () => {
  const peer = await startRawPeer('n1', (socket, { requestId, index }) => {
    const text = formatResponse(requestId, `answer ${index}`);
    socket.write(index === 0 ? text + text : text);
  });
  const entry = await startEntry([peer.view]);
  const texts = [(await send(entry.port)).text, (await send(entry.port)).text];
  assert.deepEqual(texts, ['answer 0', 'answer 1']);
});
