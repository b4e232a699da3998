import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SILENT_OBSERVER } from '../../src/core/calls/observer.js';
import { createRetryBudget } from '../../src/core/calls/retryBudget.js';
import { brandText, type RouteName } from '../../src/types/ids.js';
import { buildView, describe, send, startEntry, type EntryChange } from './fakes.js';
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

interface RetryCase {
  readonly rule: string;
  readonly route: NonNullable<EntryChange['route']>;
  readonly scripts: readonly Script[];
  readonly expected: string;
  /** Requests that each peer received. */
  readonly counts: readonly number[];
  readonly isExhausted?: boolean;
}

const REPEATABLE = { repeatability: 'repeatable' } as const;

const CASES: readonly RetryCase[] = [
  {
    rule: 'once: a certain not-run is retried on another node',
    route: {},
    scripts: [overload, succeed],
    expected: '200',
    counts: [1, 1],
  },
  {
    rule: 'once: unknown is not retried',
    route: {},
    scripts: [reset, succeed],
    expected: '502 unknown connection-lost',
    counts: [1, 0],
    isExhausted: true,
  },
  {
    rule: 'repeatable: unknown is retried',
    route: REPEATABLE,
    scripts: [reset, succeed],
    expected: '200',
    counts: [1, 1],
  },
  {
    rule: 'repeatable: an attempt that may have run keeps the call unknown',
    route: REPEATABLE,
    scripts: [reset, overload],
    expected: '502 unknown connection-lost',
    counts: [1, 1],
    isExhausted: true,
  },
  {
    rule: 'attempts end at maxAttempts',
    route: { retry: { maxAttempts: 2, budgetPercent: 20 } },
    scripts: [overload, overload, succeed],
    expected: '429 not-run overloaded',
    counts: [1, 1, 0],
    isExhausted: true,
  },
  {
    rule: 'a budget of zero percent allows no retry',
    route: { retry: { maxAttempts: 3, budgetPercent: 0 } },
    scripts: [overload, succeed],
    expected: '429 not-run overloaded',
    counts: [1, 0],
    isExhausted: true,
  },
  {
    rule: 'an answer marked exhausted is not retried and stays marked',
    route: REPEATABLE,
    scripts: [refuseAs('overloaded', 'lycheelane-retry: exhausted\r\n'), succeed],
    expected: '429 not-run overloaded',
    counts: [1, 0],
    isExhausted: true,
  },
  {
    rule: 'a bad request is not retried',
    route: REPEATABLE,
    scripts: [refuseAs('bad-request'), succeed],
    expected: '400 not-run bad-request',
    counts: [1, 0],
    isExhausted: true,
  },
];

// Guards against a second run of a call, and against retries that multiply under overload.
for (const { rule, route, scripts, expected, counts, isExhausted } of CASES) {
  test(rule, async () => {
    const peers = await Promise.all(scripts.map((each, at) => startRawPeer(`n${at}`, each)));
    const entry = await startEntry(
      peers.map((peer) => peer.view),
      { route },
    );
    const answer = await send(entry.port);
    assert.equal(describe(answer), expected);
    assert.deepEqual(
      peers.map((peer) => peer.count()),
      counts,
    );
    assert.equal(answer.headers['lycheelane-retry'], isExhausted ? 'exhausted' : undefined);
  });
}

// Guards against calls lost to a node that has just died.
test('a refused connection is retried and the node is ejected after it', async () => {
  const peer = await startRawPeer('n2', succeed);
  const dead = buildView({ nodeId: 'n1', callPort: await findClosedPort() });
  let retries = 0;
  const observer = {
    ...SILENT_OBSERVER,
    recordRetry: () => {
      retries += 1;
    },
  };
  const entry = await startEntry([dead, peer.view], { observer });
  const answers = [await send(entry.port), await send(entry.port)];
  const explained = entry.explainRoute('book').unwrapOr(undefined);
  assert.deepEqual(answers.map(describe), ['200', '200']);
  assert.equal(retries, 1);
  assert.equal(explained?.chosen, 'n2');
  assert.deepEqual(
    explained?.nodes.map(({ nodeId, reason }) => `${nodeId} ${reason}`),
    ['n1 ejected', 'n2 chosen'],
  );
});

// Guards against a retry storm: retries stay a share of the first attempts.
test('the budget grants its reserve and then one retry for each share of first attempts', () => {
  const budget = createRetryBudget();
  const route = brandText<RouteName>('book');
  const claimAll = () => {
    let granted = 0;
    while (budget.claim(route, 20)) granted += 1;
    return granted;
  };
  assert.equal(claimAll(), 3);
  for (let count = 0; count < 50; count += 1) budget.recordFirst(route, 20);
  assert.ok(Math.abs(claimAll() - 10) <= 1);
  for (let count = 0; count < 10_000; count += 1) budget.recordFirst(route, 20);
  assert.equal(claimAll(), 50);
});
