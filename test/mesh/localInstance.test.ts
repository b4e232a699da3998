/** Heartbeats: late, reordered, of a new start, and of an instance that has left. */
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
};

interface Case {
  readonly name: string;
  readonly beats: readonly Partial<Heartbeat>[];
  readonly kind: string;
  readonly id?: string;
}

const CASES: readonly Case[] = [
  { name: 'a ready heartbeat', beats: [{}], kind: 'ready' },
  {
    name: 'a draining heartbeat',
    beats: [{}, { sequence: 2, state: 'draining' }],
    kind: 'leaving',
  },
  {
    name: 'an older heartbeat after a draining one',
    beats: [{ sequence: 5, state: 'draining' }, { sequence: 4 }],
    kind: 'leaving',
  },
  {
    name: 'a newer ready heartbeat of an instance that drains',
    beats: [{ sequence: 5, state: 'draining' }, { sequence: 6 }],
    kind: 'leaving',
  },
  {
    name: 'the same identifier after a new start',
    beats: [
      { sequence: 9, state: 'draining' },
      { sequence: 1, startedAtMs: 2000 },
    ],
    kind: 'ready',
  },
  {
    name: 'a late heartbeat of the instance before',
    beats: [
      { instanceId: brandText<Heartbeat['instanceId']>('i-2'), startedAtMs: 2000 },
      { sequence: 99, startedAtMs: 1000 },
    ],
    kind: 'ready',
    id: 'i-2',
  },
];
for (const { name, beats, kind, id = 'i-1' } of CASES) {
  test(`after ${name} the instance is ${kind}`, () => {
    const instance = new LocalInstance();
    for (const beat of beats) instance.applyHeartbeat(buildHeartbeat(beat));
    const state = instance.getState();
    assert.equal(state.kind, kind);
    if (state.kind === 'ready') assert.equal(state.heartbeat.instanceId, id);
  });
}

test('a heartbeat that comes after the deregistration does not bring the instance back', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat());
  assert.equal(instance.deregister(brandText('i-1'), 1000, 5000), true);
  instance.applyHeartbeat(buildHeartbeat({ sequence: 7 }));
  assert.notEqual(instance.getState().kind, 'ready');
  instance.applyHeartbeat(buildHeartbeat({ startedAtMs: 3000 }));
  assert.equal(instance.getState().kind, 'ready');
});

test('a late deregistration of the instance before does not end the new one', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat({ startedAtMs: 3000 }));
  assert.equal(instance.deregister(brandText('i-1'), 1000, 5000), false);
  assert.equal(instance.deregister(brandText('i-0'), 1000, 5000), false);
  assert.equal(instance.getState().kind, 'ready');
});

test('a process that starts again learns from the store that the instance left', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat({ sequence: 8 }));
  const left = { instanceId: brandText<Heartbeat['instanceId']>('i-1'), startedAtMs: 1000 };
  instance.restoreLeft({ ...left, sequence: 3 });
  assert.equal(instance.getState().kind, 'leaving');
});

test('a late heartbeat does not bring back an instance that left before it was known', () => {
  const instance = new LocalInstance();
  // The process has just started, and the deregistration does not tell the instance's start.
  instance.deregister(brandText('i-1'), 0, 5000);
  instance.applyHeartbeat(buildHeartbeat({ sequence: 23 }));
  assert.notEqual(instance.getState().kind, 'ready');
  instance.applyHeartbeat(buildHeartbeat({ sequence: 1, startedAtMs: 6000 }));
  assert.equal(instance.getState().kind, 'ready');
});

test('an instance that was found to be another one is published as leaving', () => {
  const instance = new LocalInstance();
  instance.applyHeartbeat(buildHeartbeat({}));
  instance.recordMismatch(buildHeartbeat({}).instanceId);
  const published = buildPublishedNode(instance, SETTINGS, 'p-1', false);
  assert.equal(published?.record.state, 'leaving');
  assert.equal(published?.record.instanceId, 'i-1');
});

test('a deregistration without a start does not keep out another instance', () => {
  const instance = new LocalInstance();
  instance.deregister(brandText('i-0'), 0, 5000);
  instance.applyHeartbeat(buildHeartbeat({ startedAtMs: 4000 }));
  assert.equal(instance.getState().kind, 'ready');
});
