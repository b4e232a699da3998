/** Which node coordinates: requests wait for no node that does not respond. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CoordinatorChoice,
  rankCoordinators,
  STEADY_MS,
} from '../../../src/mesh/coordination/coordinatorChoice.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';

const WINDOW_MS = 5000;
const OWN = brandText<NodeId>('own');
const ORDER: readonly NodeId[] = ['a', 'b', 'c', 'd', 'e', 'own', 'f'].map((name) =>
  brandText<NodeId>(name),
);
const [A, B] = ORDER as [NodeId, NodeId];

function createChoice(): CoordinatorChoice {
  return new CoordinatorChoice(OWN, () => WINDOW_MS);
}

test('all nodes agree on the order, whatever the order in which they know the nodes', () => {
  const nodes = ORDER.map((nodeId, index) => ({ nodeId, linkMbps: index === 4 ? 140 : undefined }));
  const ranked = rankCoordinators(nodes);
  assert.equal(ranked[0], 'e');
  assert.deepEqual(rankCoordinators([...nodes].reverse()), ranked);
});

test('an isolated node asks three others at most before itself, and then only itself', () => {
  const choice = createChoice();
  assert.deepEqual(choice.listAttempts(ORDER, 0), ['a', 'b', 'c', 'own']);
  for (const node of ORDER.slice(0, 3)) choice.recordFailure(node, 0);
  choice.setCurrent(OWN, 0);
  assert.deepEqual(choice.listAttempts(ORDER, 10), ['own']);
});

test('nodes that did not answer are avoided for ever longer, others are asked beside', () => {
  const choice = createChoice();
  choice.recordFailure(A, 0);
  choice.setCurrent(OWN, 0);
  assert.equal(choice.chooseProbe(ORDER, 10), 'b');
  assert.equal(choice.chooseProbe(ORDER, 20), undefined, 'one at a time');
  choice.recordFailure(A, 1000);
  assert.equal(choice.chooseProbe(ORDER, 2500), 'b', 'two seconds after the second failure');
  assert.equal(choice.chooseProbe(ORDER, 3001), 'a');
  choice.recordAnswer(A, 3001);
  choice.setCurrent(A, 3001);
  assert.equal(choice.chooseProbe(ORDER, 9000), undefined, 'the first one needs no probe');
});

test('a preferred node that is too slow for reports is chosen ever less often', () => {
  const choice = createChoice();
  choice.setCurrent(B, 0);
  let changes = 0;
  for (let atMs = 400; atMs <= 60_000; atMs += 400) {
    if (choice.getCurrent() === A) {
      choice.recordFailure(A, atMs);
      choice.recordAnswer(B, atMs);
      choice.setCurrent(B, atMs);
    } else if (choice.chooseProbe(ORDER, atMs) === A) {
      choice.recordAnswer(A, atMs);
      choice.setCurrent(A, atMs);
      changes += 1;
    }
  }
  // No coordinator counts a node for a second after each change.
  assert.ok(changes <= 6, `${changes} changes within a minute`);
});

test('failures of long ago do not count', () => {
  const choice = createChoice();
  for (let failures = 0; failures < 5; failures += 1) choice.recordFailure(A, 0);
  choice.recordAnswer(A, 16_000);
  choice.recordFailure(A, 100_000);
  choice.setCurrent(B, 100_000);
  assert.equal(choice.chooseProbe(ORDER, 101_000), 'a');
});

test('a node stays with a coordinator that answers until a preferred one does', () => {
  const choice = createChoice();
  choice.setCurrent(B, 0);
  assert.equal(choice.listAttempts(ORDER, 10)[0], 'b');
  assert.equal(choice.chooseProbe(ORDER, 10), 'a');
});

test('the excess is brought once to a new coordinator, and not within a window', () => {
  const choice = createChoice();
  choice.setCurrent(A, 0);
  assert.equal(choice.takeBridge(A), false, 'a process that has just started');
  choice.setCurrent(B, WINDOW_MS);
  assert.equal(choice.takeBridge(B), false, 'the change before was within the window');
  const later = WINDOW_MS + WINDOW_MS + STEADY_MS;
  choice.setCurrent(A, later);
  assert.equal(choice.takeBridge(B), false, 'not the coordinator');
  assert.equal(choice.takeBridge(A), true);
  assert.equal(choice.takeBridge(A), false);
  assert.equal(choice.getSteadyMs(A, later + 10), 10);
  assert.equal(choice.getSteadyMs(B, later + 10), 0);
});
