/** Guards against responses that use up the memory together, and against the loss of sound ones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BodyBuffer } from '../../src/mesh/bodyBuffer.js';
import { computeAccountLimits } from '../../src/mesh/memory/limits.js';
import { MemoryAccount } from '../../src/mesh/memory/memoryAccount.js';
import { ResponseMemory, type HeldBody } from '../../src/mesh/responseMemory.js';

interface TestBody extends HeldBody {
  readonly name: string;
  bytes: number;
}

function setUp(limitBytes: number) {
  const memory = new ResponseMemory(
    new MemoryAccount({
      total: limitBytes,
      request: limitBytes,
      response: limitBytes,
      connection: limitBytes,
    }),
  );
  const evicted: string[] = [];
  const createBody = (name: string): TestBody => ({
    name,
    bytes: 0,
    abort: () => evicted.push(name),
  });
  const grow = (target: TestBody, bytes: number) => {
    const body = target;
    body.bytes += bytes;
    memory.grow(body, bytes);
  };
  return { memory, evicted, createBody, grow };
}

test('the largest body is evicted, and the small ones are read on', () => {
  const { evicted, createBody, grow } = setUp(100);
  const [small, large, late] = ['small', 'large', 'late'].map(createBody);
  grow(small!, 10);
  grow(large!, 80);
  grow(late!, 10);
  assert.deepEqual(evicted, []);
  grow(late!, 10);
  assert.deepEqual(evicted, ['large']);
  grow(small!, 70);
  assert.deepEqual(evicted, ['large']);
});

test('a body larger than the whole limit is evicted itself', () => {
  const { evicted, createBody, grow } = setUp(100);
  const [small, huge] = ['small', 'huge'].map(createBody);
  grow(small!, 10);
  grow(huge!, 200);
  assert.deepEqual(evicted, ['huge']);
});

test('a body that was read no longer counts', () => {
  const { memory, evicted, createBody, grow } = setUp(100);
  for (let index = 0; index < 10; index += 1) {
    const body = createBody(`b-${index}`);
    grow(body, 90);
    memory.release(body);
    memory.release(body);
  }
  assert.deepEqual(evicted, []);
});

test('the limit leaves room for one body of the largest size, and grows with the memory', () => {
  assert.equal(computeAccountLimits(16).response, 8 * 1024 * 1024);
  assert.ok(computeAccountLimits(16).total >= 8 * 1024 * 1024);
  assert.ok(computeAccountLimits(602).response > computeAccountLimits(250).response);
});

test('a body is the same however it was split', () => {
  const bytes = Buffer.from(Array.from({ length: 70_000 }, (_, index) => index % 251));
  for (const partBytes of [1, 7, 1024, 16_384, 16_385, 70_000]) {
    const body = new BodyBuffer();
    for (let from = 0; from < bytes.length; from += partBytes) {
      body.append(bytes.subarray(from, from + partBytes));
    }
    assert.equal(body.bytes, bytes.length);
    assert.ok(body.toBuffer().equals(bytes), `${partBytes} bytes`);
  }
  assert.equal(new BodyBuffer().toBuffer().length, 0);
});
