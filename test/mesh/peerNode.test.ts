/** What a node remembers of another one's refusals. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { NodeRecord } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { PeerNode } from '../../src/mesh/peerNode.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';

function createNode(): PeerNode {
  const calls = new PeerCalls({ host: '127.0.0.1', port: 1 }, new RevisionExchange([]));
  return new PeerNode({} as NodeRecord, 0, 1, calls);
}

test('an instance that refused a request is full for that rank and less urgent ones', () => {
  const node = createNode();
  node.recordFull(1, 100, 1000);
  assert.equal(node.isFull(0, 1050), false);
  assert.equal(node.isFull(1, 1050), true);
  assert.equal(node.isFull(2, 1050), true);
  assert.equal(node.isFull(2, 1101), false);
});

test('an instance counts as full for a short time only, whatever it told', () => {
  const node = createNode();
  node.recordFull(1, 60_000, 1000);
  assert.equal(node.isFull(1, 1151), false);
});

test('a silent node is avoided longer each time, and used again when it responds', () => {
  const node = createNode();
  node.recordSilence(0);
  assert.equal(node.isUnreachable(399), true);
  assert.equal(node.isUnreachable(401), false);
  node.recordSilence(401);
  assert.equal(node.isUnreachable(1100), true);
  node.recordLoad(undefined, 1100);
  assert.equal(node.isUnreachable(1101), false);
});
