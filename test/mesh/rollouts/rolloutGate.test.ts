/** Guards against senders that exceed the share of a version or have no recent directive. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RolloutState } from '../../../src/mesh/coordination/model.js';
import { RolloutGate, type VersionedCandidate } from '../../../src/mesh/rollouts/rolloutGate.js';
import { brandText, type ServiceName, type SoftwareVersion } from '../../../src/types/ids.js';
import { createRandom } from '../../../standins/random.js';

const SERVICE = brandText<ServiceName>('pads');
const OLD = brandText<SoftwareVersion>('v1');
const TARGET = brandText<SoftwareVersion>('v2');

function listCandidates(...versions: (SoftwareVersion | undefined)[]): VersionedCandidate[] {
  return versions.map((version) => ({ peer: { record: { version } } }));
}

function createGate(state: RolloutState, share = 0): RolloutGate {
  const gate = new RolloutGate(createRandom(1));
  gate.applyDirectives([{ service: SERVICE, targetVersion: TARGET, state, share }], 0);
  return gate;
}

/** Returns the versions that a call may be sent to. */
function filter(
  gate: RolloutGate,
  candidates: VersionedCandidate[],
  nowMs = 0,
  call: object = {},
): (string | undefined)[] {
  return gate
    .filterCandidates(call, SERVICE, candidates, nowMs)
    .map(({ peer }) => peer.record.version);
}

const BOTH = listCandidates(OLD, undefined, TARGET);

test('a running version gets its share of the calls and not more', () => {
  const gate = createGate('running', 0.06);
  let count = 0;
  for (let call = 0; call < 20_000; call += 1) {
    const versions = filter(gate, BOTH);
    if (versions.includes(TARGET)) {
      assert.deepEqual(versions, [TARGET]);
      count += 1;
    } else {
      assert.deepEqual(versions, [OLD, undefined]);
    }
  }
  assert.ok(count > 1000 && count < 1400, `${count} of 20000`);
});

test('a second send of a call stays within the version that was drawn', () => {
  const gate = createGate('running', 0.5);
  for (let index = 0; index < 100; index += 1) {
    const call = {};
    const first = filter(gate, BOTH, 0, call);
    for (let send = 0; send < 4; send += 1) assert.deepEqual(filter(gate, BOTH, 0, call), first);
  }
});

test('a call drawn for a version that is rolled back is not sent to it again', () => {
  const gate = createGate('running', 1);
  const call = {};
  assert.deepEqual(filter(gate, BOTH, 0, call), [TARGET]);
  const directive = { service: SERVICE, targetVersion: TARGET, state: 'rolled_back', share: 0 };
  gate.applyDirectives([directive as never], 10);
  assert.deepEqual(filter(gate, BOTH, 10, call), [OLD, undefined]);
});

test('a node without recent directives sends nothing to an unproven version', () => {
  for (const state of ['running', 'promoting'] as const) {
    const gate = createGate(state, 1);
    assert.deepEqual(filter(gate, BOTH, 1500), [TARGET]);
    assert.deepEqual(filter(gate, BOTH, 1501), [OLD, undefined]);
  }
});

test('final states hold while no directives arrive', () => {
  assert.deepEqual(filter(createGate('rolled_back'), BOTH, 30_000), [OLD, undefined]);
  assert.deepEqual(filter(createGate('completed'), BOTH, 30_000), [TARGET]);
});

test('calls are not refused because the instances of the other version have left', () => {
  assert.deepEqual(filter(createGate('running', 0), listCandidates(TARGET)), [TARGET]);
  assert.deepEqual(filter(createGate('running', 1), listCandidates(OLD)), [OLD]);
  assert.deepEqual(filter(createGate('running', 1), listCandidates(TARGET), 9000), [TARGET]);
  assert.deepEqual(filter(createGate('completed'), listCandidates(OLD)), [OLD]);
});

test('a version that was rolled back gets no calls even if there is no other', () => {
  assert.deepEqual(filter(createGate('rolled_back'), listCandidates(TARGET)), []);
});

test('a coordinator that has not read the store does not release an unproven version', () => {
  const gate = createGate('running', 0.06);
  gate.applyDirectives([], 5000);
  assert.deepEqual(filter(gate, BOTH, 5000), [OLD, undefined]);
});

test('the directive of a removed order ends', () => {
  const gate = createGate('rolled_back');
  gate.applyDirectives([], 60_001);
  assert.equal(filter(gate, BOTH, 60_001).length, BOTH.length);
});

test('calls of services without a rollout are not filtered', () => {
  const candidates = listCandidates(OLD, TARGET);
  const gate = new RolloutGate();
  assert.equal(gate.filterCandidates({}, SERVICE, candidates, 0), candidates);
});
