/** Overload and backoff state that a node keeps for another node. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { NodeRecord } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { PeerNode, type RoutePriority } from '../../src/mesh/peerNode.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import { brandText } from '../../src/types/ids.js';

function createNode(): PeerNode {
  const calls = new PeerCalls({ host: '127.0.0.1', port: 1 }, new RevisionExchange([]));
  return new PeerNode({} as NodeRecord, 0, 1, calls);
}

function buildRoute(name: string, priority: number): RoutePriority {
  return { name: brandText(name), priority };
}

test('an instance that refused a request is overloaded for its route and lower priorities', () => {
  const node = createNode();
  const refused = buildRoute('book', 1);
  node.recordOverload(refused, 100, 1000);
  assert.equal(node.isOverloaded(buildRoute('pay', 0), 1050), false);
  assert.equal(node.isOverloaded(refused, 1050), true);
  assert.equal(node.isOverloaded(buildRoute('look-up', 1), 1050), false, 'its runs may be short');
  assert.equal(node.isOverloaded(buildRoute('search', 2), 1050), true);
  assert.equal(node.isOverloaded(buildRoute('search', 2), 1101), false);
});

test('an instance counts as overloaded for a limited time, whatever wait it asks for', () => {
  const node = createNode();
  const refused = buildRoute('book', 1);
  node.recordOverload(refused, 60_000, 1000);
  assert.equal(node.isOverloaded(refused, 1151), false);
});

test('the backoff of an unresponsive node grows, and ends when it responds', () => {
  const node = createNode();
  node.recordNoResponse(0);
  assert.equal(node.isUnreachable(399), true);
  assert.equal(node.isUnreachable(401), false);
  node.recordNoResponse(401);
  assert.equal(node.isUnreachable(1100), true);
  node.recordLoad(undefined, 1100);
  assert.equal(node.isUnreachable(1101), false);
});
