import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NOOP_OBSERVER } from '../../src/core/calls/observer.js';
import { createRetryBudget } from '../../src/core/calls/retryBudget.js';
import { brandText, type RouteName } from '../../src/types/ids.js';
import { buildView, formatAnswer, send, startEntry, type EntryChange } from './fakes.js';
import {
  findClosedPort,
  formatNotRun,
  formatResponse,
  startRawPeer,
  type Script,
} from './rawPeer.js';

const reset: Script = (socket) => socket.resetAndDestroy();
const succeed: Script = (socket, { requestId }) => socket.write(formatResponse(requestId, 'ok'));
const refuseAs =
  (reason: string, extra = ''): Script =>
  (socket, { requestId }) =>
    socket.write(formatResponse(requestId, '', formatNotRun(reason, extra), 503));
const overload = refuseAs('overloaded');

const REPEATABLE = { repeatability: 'repeatable' } as const;
const TWO_ATTEMPTS = { retry: { maxAttempts: 2, budgetPercent: 20 } };
const NO_BUDGET = { retry: { maxAttempts: 3, budgetPercent: 0 } };
const exhausted = refuseAs('overloaded', 'lycheelane-retry: exhausted\r\n');
const LOST = '502 unknown connection-lost';
const BAD = '400 not-run bad-request';
const FULL = '429 not-run overloaded';
type Route = EntryChange['route'];

/** Rule, route, script of each peer, expected outcome, requests received by each peer. */
const CASES: readonly (readonly [string, Route, readonly Script[], string, readonly number[]])[] = [
  ['once: not-run is retried on another node', {}, [overload, succeed], '200', [1, 1]],
  ['once: unknown is not retried', {}, [reset, succeed], LOST, [1, 0]],
  ['repeatable: unknown is retried', REPEATABLE, [reset, succeed], '200', [1, 1]],
  ['repeatable: unknown, then not-run is unknown', REPEATABLE, [reset, overload], LOST, [1, 1]],
  ['maxAttempts', TWO_ATTEMPTS, [overload, overload, succeed], FULL, [1, 1, 0]],
  ['a budget of zero percent', NO_BUDGET, [overload, succeed], FULL, [1, 0]],
  ['an answer marked exhausted', REPEATABLE, [exhausted, succeed], FULL, [1, 0]],
  ['a bad request', REPEATABLE, [refuseAs('bad-request'), succeed], BAD, [1, 0]],
];

// Guards against running a call twice, and against retries that multiply under overload.
for (const [rule, route, scripts, expected, counts] of CASES) {
  test(`retries: ${rule}`, async () => {
    const peers = await Promise.all(scripts.map((each, at) => startRawPeer(`n${at}`, each)));
    const views = peers.map((peer) => peer.view);
    const entry = await startEntry(views, { route });
    const answer = await send(entry.port);
    const received = peers.map((peer) => peer.count());
    assert.equal(formatAnswer(answer), expected);
    assert.deepEqual(received, counts);
    const mark = answer.headers['lycheelane-retry'];
    assert.equal(mark, expected === '200' ? undefined : 'exhausted');
  });
}

// Guards against calls that fail because a node has just crashed.
test('a refused connection is retried and the node is ejected after it', async () => {
  const peer = await startRawPeer('n2', succeed);
  const dead = buildView({ nodeId: 'n1', callPort: await findClosedPort() });
  const retried: string[] = [];
  const recordRetry = (route: string) => retried.push(route);
  const observer = { ...NOOP_OBSERVER, recordRetry };
  const entry = await startEntry([dead, peer.view], { observer });
  const answers = [await send(entry.port), await send(entry.port)];
  const explained = entry.explainRoute('book').unwrapOr(undefined);
  assert.deepEqual(answers.map(formatAnswer), ['200', '200']);
  assert.deepEqual(retried, ['book']);
  assert.equal(explained?.chosen, 'n2');
  const reasons = explained?.nodes.map(({ nodeId, reason }) => `${nodeId} ${reason}`);
  assert.deepEqual(reasons, ['n1 ejected', 'n2 chosen']);
});

// Guards against a retry storm: retries are limited to a share of the first attempts.
test('the budget allows its initial tokens and then a share of the first attempts', () => {
  const budget = createRetryBudget();
  const route = brandText<RouteName>('book');
  const claimAll = () => {
    let granted = 0;
    while (budget.tryConsume(route, 20)) granted += 1;
    return granted;
  };
  assert.equal(claimAll(), 3);
  for (let count = 0; count < 50; count += 1) budget.recordFirstAttempt(route, 20);
  assert.ok(Math.abs(claimAll() - 10) <= 1);
  for (let count = 0; count < 10_000; count += 1) budget.recordFirstAttempt(route, 20);
  assert.equal(claimAll(), 50);
});

// Guards against calls refused although instances are free: the entry node used up its retry budget
// on nodes whose leaving state it had not received yet, and sent calls to them repeatedly.
test('nodes that accept no more calls get one call and use no retry budget', async () => {
  const scripts = [refuseAs('leaving'), refuseAs('no-instance'), refuseAs('leaving'), succeed];
  const peers = await Promise.all(scripts.map((each, at) => startRawPeer(`n${at}`, each)));
  const entry = await startEntry(
    peers.map((peer) => peer.view),
    { route: { retry: { maxAttempts: 1, budgetPercent: 0 } } },
  );
  for (let call = 0; call < 5; call += 1) assert.equal(formatAnswer(await send(entry.port)), '200');
  const counts = peers.map((peer) => peer.count());
  assert.deepEqual(counts, [1, 1, 1, 5]);
});
