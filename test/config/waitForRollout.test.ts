import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as yieldLoop } from 'node:timers/promises';
import { err, ok } from 'neverthrow';
import { assessNodes } from '../../src/cli/config/assessNodes.js';
import { waitForRollout } from '../../src/cli/config/waitForRollout.js';
import { buildError } from '../../src/errors.js';
import type { NodesAnswer, NodeStatus } from '../../src/generated/types.js';

function buildNode(nodeId: string, version: number, more: Partial<NodeStatus> = {}): NodeStatus {
  const dataCentre = nodeId.slice(0, 1);
  const state = { verdict: 'alive', state: 'serving', ready: true } as const;
  return { nodeId, dataCentre, region: 'r', digest: '', version, refusal: null, ...state, ...more };
}

function buildAnswer(nodes: NodeStatus[], unreachable: readonly string[] = []): NodesAnswer {
  const dataCentres = ['a', 'b'].map((name) => ({
    name,
    reachable: !unreachable.includes(name),
    sinceMs: 1000,
  }));
  return { nodes, dataCentres };
}

const REFUSAL = { refusal: { version: 5, step: 'config.compile', reason: 'bad digest' } };
const CASES: readonly [string, NodesAnswer, boolean, boolean, readonly string[]][] = [
  ['all nodes', buildAnswer([buildNode('a1', 5), buildNode('b1', 6)]), true, true, []],
  [
    'a node at an older version',
    buildAnswer([buildNode('a1', 5), buildNode('b1', 4)]),
    false,
    false,
    ['still at version 4'],
  ],
  [
    'a refusal',
    buildAnswer([buildNode('a1', 4, REFUSAL)]),
    false,
    false,
    ['refused version 5: bad digest (step config.compile)'],
  ],
  [
    'a suspect and a new node',
    buildAnswer([buildNode('a1', 4, { verdict: 'suspect' }), buildNode('a2', 0)]),
    false,
    false,
    ['does not answer pings', 'has no configuration yet'],
  ],
  [
    'dead and left nodes',
    buildAnswer([
      buildNode('a1', 5),
      buildNode('a2', 1, { verdict: 'dead' }),
      buildNode('a3', 1, { state: 'left' }),
    ]),
    true,
    true,
    [],
  ],
  [
    'an unreachable data centre',
    buildAnswer([buildNode('a1', 5), buildNode('b1', 4)], ['b']),
    true,
    false,
    ['its data centre cannot be reached'],
  ],
  ['no node at all', buildAnswer([]), false, false, []],
];

// Guards against a version that is reported as enforced by all nodes when it is not.
for (const [name, answer, isReachedInForce, isEverywhere, reasons] of CASES) {
  test(`in force: ${name}`, () => {
    const report = assessNodes(answer, 5);
    assert.equal(report.isReachedInForce, isReachedInForce);
    assert.equal(report.isEverywhere, isEverywhere);
    assert.deepEqual(
      report.pending.map(({ reason }) => reason),
      reasons,
    );
  });
}

const OPTIONS = { timeoutMs: 1000, intervalMs: 100, onReport: () => {} };

// Guards against a wait that ends at the first failed poll, or that never ends.
test('the wait continues after failed polls until the rollout completes', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const answers = [
    err(buildError('unavailable', 'test', 'node', 'down')),
    ok(buildAnswer([buildNode('a1', 4)])),
    ok(buildAnswer([buildNode('a1', 5)])),
  ];
  let polls = 0;
  const fetch = async () => {
    polls += 1;
    return answers[polls - 1] ?? err(buildError('internal', 'test', 'node', 'too many polls'));
  };
  const waiting = waitForRollout(fetch, 5, OPTIONS);
  for (let step = 0; step < 2; step += 1) {
    await yieldLoop();
    context.mock.timers.tick(100);
  }
  const { report, lastError } = await waiting;
  assert.deepEqual([polls, report?.isEverywhere, lastError], [3, true, undefined]);
});

const UP_TO_DATE_NODE = buildNode('a1', 5);
const REFUSING_NODE = buildNode('a2', 4, REFUSAL);
const LATER_REFUSAL = { refusal: { version: 6, reason: 'bad' } };
const ENDINGS: readonly [string, NodesAnswer, number][] = [
  ['every node refuses the version', buildAnswer([buildNode('a1', 4, REFUSAL), REFUSING_NODE]), 1],
  ['every pending node refuses the version', buildAnswer([UP_TO_DATE_NODE, REFUSING_NODE]), 1],
  [
    'one of two pending nodes has not refused the version',
    buildAnswer([REFUSING_NODE, buildNode('b1', 4)]),
    3,
  ],
  [
    'the pending node refuses a later version',
    buildAnswer([UP_TO_DATE_NODE, buildNode('a2', 4, LATER_REFUSAL)]),
    3,
  ],
  [
    'the other pending node is unreachable',
    buildAnswer([REFUSING_NODE, buildNode('b1', 4)], ['b']),
    1,
  ],
];
// Guards against a wait until the time limit when all pending nodes have refused the version, and
// against one that ends before they have.
for (const [name, answer, expected] of ENDINGS) {
  test(`the wait ends after poll ${expected} when ${name}`, async (context) => {
    context.mock.timers.enable({ apis: ['setTimeout'] });
    let polls = 0;
    const fetch = async () => {
      polls += 1;
      return ok(answer);
    };
    const waiting = waitForRollout(fetch, 5, { ...OPTIONS, intervalMs: 700 });
    for (const stepMs of [700, 300]) {
      await yieldLoop();
      context.mock.timers.tick(stepMs);
    }
    const { report } = await waiting;
    assert.deepEqual([polls, report?.isRefused], [expected, expected === 1]);
  });
}

// Guards against a wait that exceeds its time limit, or that ends without the last report.
test('the wait ends at its time limit with the last report', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  let polls = 0;
  const fetch = async () => {
    polls += 1;
    return ok(buildAnswer([buildNode('a1', 4)]));
  };
  const waiting = waitForRollout(fetch, 5, { ...OPTIONS, intervalMs: 700 });
  for (const stepMs of [700, 300]) {
    await yieldLoop();
    context.mock.timers.tick(stepMs);
  }
  const { report } = await waiting;
  assert.deepEqual([polls, report?.pending.length], [3, 1]);
});
