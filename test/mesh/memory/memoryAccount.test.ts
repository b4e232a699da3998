/** Guards against holdings that exceed the limits, and against the loss of the wrong ones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HoldingKind } from '../../../src/mesh/memory/holding.js';
import { computeAccountLimits, computeClientLimits } from '../../../src/mesh/memory/limits.js';
import { MemoryAccount } from '../../../src/mesh/memory/memoryAccount.js';

const MIB = 1024 * 1024;

function setUp(limits = { total: 1000, request: 700, response: 300, connection: 1000 }) {
  const account = new MemoryAccount(limits);
  const evicted: string[] = [];
  const open = (name: string, kind: HoldingKind) => account.open(kind, () => evicted.push(name));
  return { account, evicted, open };
}

test('the largest holding of a kind makes room for its kind', () => {
  const { evicted, open } = setUp();
  open('connection', 'connection').set(400);
  open('small', 'response').set(20);
  open('large', 'response').set(270);
  open('late', 'response').set(20);
  assert.deepEqual(evicted, ['large']);
});

test('the largest holding of all kinds makes room in the whole account', () => {
  const { account, evicted, open } = setUp();
  open('unread', 'connection').set(520);
  open('idle', 'connection').set(12);
  open('body', 'request').set(300);
  open('response', 'response').set(200);
  assert.deepEqual(evicted, ['unread']);
  assert.equal(account.countBytes(), 512);
});

test('of holdings of about one size the one that has been so for the longest time goes', () => {
  const { evicted, open } = setUp();
  const first = open('first', 'request');
  const second = open('second', 'request');
  second.set(300);
  first.set(350);
  open('third', 'request').set(100);
  assert.deepEqual(evicted, ['second']);
});

test('a pinned holding counts until its release, and newcomers are evicted for it', () => {
  const { account, evicted, open } = setUp();
  const pinned = open('pinned', 'request');
  pinned.set(650);
  pinned.pin();
  open('new', 'request').set(100);
  assert.deepEqual(evicted, ['new']);
  pinned.release();
  pinned.set(5000);
  assert.equal(account.countBytes(), 0);
});

test('holdings that shrink and end leave nothing counted', () => {
  const { account, evicted, open } = setUp();
  for (let index = 0; index < 100; index += 1) {
    const holding = open(`h-${index}`, 'connection');
    holding.set(900);
    holding.set(10);
    holding.release();
    holding.release();
  }
  assert.equal(account.countBytes(), 0);
  assert.deepEqual(evicted, []);
});

test('the smallest host has room for a lone body of the largest size, and others beside it', () => {
  const { evicted, open } = setUp(computeAccountLimits(250));
  open('connections', 'connection').set(10 * MIB);
  const body = open('body', 'request');
  for (let bytes = 0; bytes <= 64 * MIB; bytes += MIB) body.set(bytes);
  open('response', 'response').set(8 * MIB);
  assert.deepEqual(evicted, []);
});

test('the limits of the smallest host leave memory for the program and its garbage', () => {
  const { total, request } = computeAccountLimits(250);
  assert.ok(total <= 80 * MIB);
  assert.ok(total - request >= 14 * MIB, 'room beside large bodies');
});

test('clients leave descriptors for the platform, nodes, instance and store', () => {
  const { maxConnections } = computeClientLimits({ maxFds: 4100, stallMs: 1 });
  assert.ok(maxConnections >= 2500 && maxConnections <= 3900 - 540, String(maxConnections));
  assert.ok(computeClientLimits({ maxFds: 0, stallMs: 1 }).maxConnections > 0);
});
