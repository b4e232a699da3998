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
  choice.recordAnswer(A);
  choice.setCurrent(A, 3001);
  assert.equal(choice.chooseProbe(ORDER, 9000), undefined, 'the first one needs no probe');
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
