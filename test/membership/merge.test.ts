import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { computeTransmissions, createGossipQueue } from '../../src/core/membership/gossip.js';
import { compareIncarnations } from '../../src/core/membership/incarnation.js';
import { mergeChanges } from '../../src/core/membership/merge.js';
import { createTable, toChange } from '../../src/core/membership/table.js';
import type { MemberChange } from '../../src/generated/types.js';
import { buildRecord } from '../../standins/memory/nodes.js';

const RUNS = { seed: 20_240_611, numRuns: 500 };

/** Generates changes to one member; small ranges make equal fields likely. */
const anyChange: fc.Arbitrary<MemberChange> = fc
  .record({
    startMs: fc.integer({ min: 8, max: 11 }),
    text: fc.constantFrom('a', 'b'),
    sequence: fc.integer({ min: 0, max: 2 }),
    state: fc.constantFrom('joining' as const, 'serving' as const, 'left' as const),
    verdict: fc.constantFrom('alive' as const, 'suspect' as const, 'dead' as const),
  })
  .map(({ startMs, text, sequence, state, verdict }) => ({
    record: { ...buildRecord(1, 'dc-a'), incarnation: `${startMs}-${text}`, sequence, state },
    verdict,
  }));

// Guards against tables that stay different because changes arrived in a different order.
test('merging is commutative, associative and idempotent', () => {
  const check = (a: MemberChange, b: MemberChange, c: MemberChange) => {
    assert.deepEqual(mergeChanges(a, a), a);
    assert.deepEqual(mergeChanges(a, b), mergeChanges(b, a));
    assert.deepEqual(mergeChanges(mergeChanges(a, b), c), mergeChanges(a, mergeChanges(b, c)));
  };
  fc.assert(fc.property(anyChange, anyChange, anyChange, check), RUNS);
});

// Guards against a table that replaces a newer record with an older one.
test('a table that contains a member ends with its greatest change, in any order', () => {
  const first: MemberChange = {
    record: { ...buildRecord(1, 'dc-a'), incarnation: '1-a' },
    verdict: 'alive',
  };
  fc.assert(
    fc.property(fc.array(anyChange, { maxLength: 6 }), (changes) => {
      const table = createTable(buildRecord(2, 'dc-a'));
      for (const change of [first, ...changes]) table.apply(change);
      const entry = table.get('node-1');
      assert.ok(entry);
      assert.deepEqual(toChange(entry), changes.reduce(mergeChanges, first));
    }),
    RUNS,
  );
});

// Guards against start times that are compared as text, which orders 9 after 10.
test('incarnations are ordered by the number of their start time', () => {
  assert.ok(compareIncarnations('9-z', '10-a') < 0);
  assert.ok(compareIncarnations('10-b', '10-a') > 0);
  assert.equal(compareIncarnations('10-a', '10-a'), 0);
});

// Guards against a change that counts as transmitted although its messages were lost.
test('changes of an unanswered message are transmitted again', () => {
  const table = createTable(buildRecord(1, 'dc-a'));
  const gossip = createGossipQueue(table, 'dc-a');
  gossip.add('node-1');
  for (let lost = 0; lost < 20; lost += 1) gossip.restore(gossip.take());
  const transmissions = computeTransmissions(1);
  for (let sent = 0; sent < transmissions; sent += 1) assert.equal(gossip.take().length, 1);
  assert.equal(gossip.take().length, 0);
});
