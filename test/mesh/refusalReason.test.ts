/** Which refusals keep further requests off a host. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RefusalReason } from '../../src/mesh/model.js';
import { decodeResult } from '../../src/mesh/peerMessages.js';
import { isCapacityRefusal, isInstanceUnavailable } from '../../src/mesh/refusalReason.js';

const REASONS: Readonly<Record<RefusalReason, 'capacity' | 'unavailable' | 'neither'>> = {
  overloaded: 'capacity',
  limited: 'capacity',
  delayed: 'capacity',
  'clock-unknown': 'capacity',
  deadline: 'neither',
  cancelled: 'neither',
  unauthorized: 'neither',
  busy: 'neither',
  leaving: 'unavailable',
  'no-instance': 'unavailable',
  unreachable: 'unavailable',
  shed: 'unavailable',
  mismatch: 'unavailable',
};

for (const [reason, effect] of Object.entries(REASONS)) {
  test(`a host that refuses as ${reason} does not attract more calls than it should`, () => {
    assert.equal(isCapacityRefusal(reason), effect === 'capacity');
    assert.equal(isInstanceUnavailable(reason as RefusalReason), effect === 'unavailable');
  });
}

test('a reason of a later build is a refusal that this build can handle', () => {
  const text = JSON.stringify({ kind: 'notRun', reason: 'moved', retryAfterMs: 5 });
  const response = { status: 503, headers: [], body: Buffer.alloc(0) };
  const result = decodeResult(text, response)?.result;
  assert.equal(result?.kind, 'notRun');
  assert.ok(result?.kind === 'notRun' && result.reason in REASONS);
});
