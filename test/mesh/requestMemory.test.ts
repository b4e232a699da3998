/** Guards against request bodies that use up the memory together, and the loss of a lone one. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MemoryAccount } from '../../src/mesh/memory/memoryAccount.js';
import { RequestMemory } from '../../src/mesh/requestMemory.js';

function setUp(limitBytes: number) {
  const memory = new RequestMemory(
    new MemoryAccount({
      total: limitBytes,
      request: limitBytes,
      response: limitBytes,
      connection: limitBytes,
    }),
  );
  const evicted: string[] = [];
  const open = (name: string) => {
    const held = memory.open();
    held.onEvict(() => evicted.push(name));
    return held;
  };
  return { evicted, open };
}

test('the largest body that is being read is evicted for the others', () => {
  const { evicted, open } = setUp(100);
  const [large, small] = [open('large'), open('small')];
  large.grow(60);
  small.grow(40);
  assert.deepEqual(evicted, []);
  small.grow(1);
  assert.deepEqual(evicted, ['large']);
  large.grow(90);
  small.grow(59);
  assert.deepEqual(evicted, ['large'], 'what was evicted no longer counts');
});

test('a complete body counts until its request has ended, and is not evicted', () => {
  const { evicted, open } = setUp(100);
  const running = open('running');
  running.grow(90);
  running.complete();
  open('early').grow(20);
  assert.deepEqual(evicted, ['early']);
  running.release();
  open('late').grow(100);
  assert.deepEqual(evicted, ['early']);
});

test('a body that is held alone is read on, whatever its size', () => {
  const { evicted, open } = setUp(100);
  open('lone').grow(250);
  assert.deepEqual(evicted, []);
});
