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
  const givenUp: string[] = [];
  const open = (name: string) => {
    const held = memory.open();
    held.onGiveUp(() => givenUp.push(name));
    return held;
  };
  return { givenUp, open };
}

test('the largest body that is being read is given up for the others', () => {
  const { givenUp, open } = setUp(100);
  const [large, small] = [open('large'), open('small')];
  large.grow(60);
  small.grow(40);
  assert.deepEqual(givenUp, []);
  small.grow(1);
  assert.deepEqual(givenUp, ['large']);
  large.grow(90);
  small.grow(59);
  assert.deepEqual(givenUp, ['large'], 'what was given up no longer counts');
});

test('a complete body counts until its request has ended, and is not given up', () => {
  const { givenUp, open } = setUp(100);
  const running = open('running');
  running.grow(90);
  running.complete();
  open('early').grow(20);
  assert.deepEqual(givenUp, ['early']);
  running.release();
  open('late').grow(100);
  assert.deepEqual(givenUp, ['early']);
});

test('a body that is held alone is read on, whatever its size', () => {
  const { givenUp, open } = setUp(100);
  open('lone').grow(250);
  assert.deepEqual(givenUp, []);
});
