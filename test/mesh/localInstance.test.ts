/** Delayed and reordered heartbeats, restarts, and departed instances. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LocalInstance } from '../../src/mesh/localInstance.js';
import type { Heartbeat } from '../../src/mesh/model.js';
import { buildPublishedNode, type PublishedSettings } from '../../src/mesh/nodeRecord.js';
import { brandText } from '../../src/types/ids.js';

function buildHeartbeat(change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    instanceId: brandText('i-1'),
    service: brandText('pads'),
    address: { host: '10.0.0.1', port: 8000 },
    state: 'ready',
    slots: 4,
    warmupMs: 0,
    sequence: 1,
    startedAtMs: 1000,
    ...change,
  };
}

const SETTINGS: PublishedSettings = {
  nodeId: brandText('host-0'),
  dataCentre: brandText('a'),
  service: brandText('pads'),
  ports: { peers: { host: '10.0.0.1', port: 7400 } },
  linkMbps: 1000,
};

interface Case {
  readonly name: string;
  readonly heartbeats: readonly Partial<Heartbeat>[];
  readonly kind: string;
  readonly id?: string;
}

const CASES: readonly Case[] = [
  { name: 'a ready heartbeat', heartbeats: [{}], kind: 'ready' },
  {
    name: 'a draining heartbeat',
    heartbeats: [{}, { sequence: 2, state: 'draining' }],
    kind: 'leaving',
  },
  {
    name: 'an older heartbeat after a draining one',
    heartbeats: [{ sequence: 5, state: 'draining' }, { sequence: 4 }],
    kind: 'leaving',
  },
  {
    name: 'a newer ready heartbeat of a draining instance',
    heartbeats: [{ sequence: 5, state: 'draining' }, { sequence: 6 }],
    kind: 'leaving',
  },
  {
    name: 'a restart with the same identifier',
    heartbeats: [
      { sequence: 9, state: 'draining' },
      { sequence: 1, startedAtMs: 2000 },
    ],
    kind: 'ready',
  },
  {
    name: 'a delayed heartbeat of the previous instance',
    heartbeats: [
      { instanceId: brandText<Heartbeat['instanceId']>('i-2'), startedAtMs: 2000 },
      { sequence: 99, startedAtMs: 1000 },
    ],
    kind: 'ready',
    id: 'i-2',
  },
];
for (const { name, heartbeats, kind, id = 'i-1' } of CASES) {
  test(`after ${name} the instance is ${kind}`, () => {
    const instance = new LocalInstance();
    for (const heartbeat of heartbeats) instance.applyHeartbeat(buildHeartbeat(heartbeat));
    const state = instance.getState();
    assert.equal(state.kind, kind);
    if (state.kind === 'ready') assert.equal(state.heartbeat.instanceId, id);
  });
}

test('a heartbeat received after the deregistration does not make the instance ready', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat());
  assert.equal(instance.deregister(brandText('i-1'), 1000, 5000), true);
  instance.applyHeartbeat(buildHeartbeat({ sequence: 7 }));
  assert.notEqual(instance.getState().kind, 'ready');
  instance.applyHeartbeat(buildHeartbeat({ startedAtMs: 3000 }));
  assert.equal(instance.getState().kind, 'ready');
});

test('a delayed deregistration of the previous instance does not affect the new one', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat({ startedAtMs: 3000 }));
  assert.equal(instance.deregister(brandText('i-1'), 1000, 5000), false);
  assert.equal(instance.deregister(brandText('i-0'), 1000, 5000), false);
  assert.equal(instance.getState().kind, 'ready');
});

test('a restarted process restores the departed instance from the store', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat({ sequence: 8 }));
  const departed = { instanceId: brandText<Heartbeat['instanceId']>('i-1'), startedAtMs: 1000 };
  instance.restoreDepartedInstance({ ...departed, sequence: 3 });
  assert.equal(instance.getState().kind, 'leaving');
});

test('an older record in a restored store does not replace the latest departed instance', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat({ startedAtMs: 3000 }));
  instance.deregister(brandText('i-1'), 3000, 5000);
  const older = { instanceId: brandText<Heartbeat['instanceId']>('i-0'), startedAtMs: 1000 };
  instance.restoreDepartedInstance({ ...older, sequence: 3 });
  assert.equal(instance.getDepartedInstance()?.instanceId, 'i-1');
  assert.equal(buildPublishedNode(instance, SETTINGS, 'p-1', false)?.left?.instanceId, 'i-1');
});

test('a delayed heartbeat is not accepted after a deregistration without a start', () => {
  const instance = new LocalInstance();
  // The process has just started, and the deregistration omits the start of the instance.
  instance.deregister(brandText('i-1'), 0, 5000);
  instance.applyHeartbeat(buildHeartbeat({ sequence: 23 }));
  assert.notEqual(instance.getState().kind, 'ready');
  instance.applyHeartbeat(buildHeartbeat({ sequence: 1, startedAtMs: 6000 }));
  assert.equal(instance.getState().kind, 'ready');
});

test('an instance that was replaced at its address is published as leaving', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat({}));
  instance.recordMismatch(buildHeartbeat({}).instanceId);
  const published = buildPublishedNode(instance, SETTINGS, 'p-1', false);
  assert.equal(published?.record.state, 'leaving');
  assert.equal(published?.record.instanceId, 'i-1');
});

test('a deregistration without a start does not block another instance', () => {
  const instance = new LocalInstance();
  instance.deregister(brandText('i-0'), 0, 5000);
  instance.applyHeartbeat(buildHeartbeat({ startedAtMs: 4000 }));
  assert.equal(instance.getState().kind, 'ready');
});
