/** Messages and settings of the platform, and what other writers make of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeAnnouncement } from '../../platform/announcement.js';
import { decodeConfiguration } from '../../platform/configuration.js';
import { decodeSettings } from '../../platform/settings.js';
import { buildConfiguration } from '../../standins/mesh/meshFleet.js';

const BEAT = {
  Service: 'pads',
  Address: '10.0.0.9:8080',
  Zone: 'a',
  Version: 'v1',
  Capacity: 6,
  State: 'ready',
  WarmupLeft: '2.5s',
  Sequence: 4,
  born: 1700,
};

function decode(path: string, body: unknown): ReturnType<typeof decodeAnnouncement> {
  return decodeAnnouncement(
    path,
    Buffer.from(typeof body === 'string' ? body : JSON.stringify(body)),
  );
}

test('a heartbeat is decoded into the fields that the node uses', () => {
  assert.deepEqual(decode('/instances/i-1/heartbeat', BEAT), {
    kind: 'heartbeat',
    heartbeat: {
      instanceId: 'i-1',
      service: 'pads',
      address: { host: '10.0.0.9', port: 8080 },
      state: 'ready',
      slots: 6,
      warmupMs: 2500,
      sequence: 4,
      startedAtMs: 1700,
    },
  });
});

test('a deregistration may come with or without a body', () => {
  const path = '/instances/i-1/deregister';
  assert.deepEqual(decode(path, ''), { kind: 'deregister', instanceId: 'i-1', startedAtMs: 0 });
  assert.deepEqual(decode(path, { born: 5 }), {
    kind: 'deregister',
    instanceId: 'i-1',
    startedAtMs: 5,
  });
});

const INVALID = [
  { name: 'bytes that are no JSON', body: '{"Service":' },
  { name: 'a list', body: [BEAT] },
  { name: 'no service', body: { ...BEAT, Service: undefined } },
  { name: 'a service of another type', body: { ...BEAT, Service: 4 } },
  { name: 'an unknown state', body: { ...BEAT, State: 'sleeping' } },
  { name: 'an address without a port', body: { ...BEAT, Address: '10.0.0.9' } },
  { name: 'a capacity of zero', body: { ...BEAT, Capacity: 0 } },
  { name: 'a sequence as text', body: { ...BEAT, Sequence: '4' } },
  { name: 'a time without a unit', body: { ...BEAT, WarmupLeft: '5' } },
];
for (const { name, body } of INVALID) {
  test(`a heartbeat with ${name} is invalid`, () => {
    assert.equal(decode('/instances/i-1/heartbeat', body).kind, 'invalid');
  });
}

test('a call to another path is invalid', () => {
  assert.equal(decode('/instances/i-1/other', BEAT).kind, 'invalid');
});

test('a version is read as hexadecimal digits', () => {
  const config = decodeConfiguration(buildConfiguration(31, [{ prefix: '/a/' }]));
  assert.equal(typeof config === 'object' && config.version, 31);
});

const FAULTY = [
  { name: 'no resources', value: { Version: '00000001' } },
  { name: 'no limits', value: { Version: '00000001', Resources: [] } },
  { name: 'a version that is no number', value: { ...buildConfiguration(1, []), Version: 'x' } },
  { name: 'a text', value: 'config' },
];
for (const { name, value } of FAULTY) {
  test(`a configuration with ${name} is refused whole`, () => {
    assert.equal(typeof decodeConfiguration(value), 'string');
  });
}

const getDistance = () => ({ waitShare: 1, spillRank: 1 });

test('settings name the field that is wrong', () => {
  const failed = decodeSettings('{"ListenAddrs":{},"PolicyParams":{}}', getDistance);
  assert.match(failed._unsafeUnwrapErr().message, /NodeName must be a text, found nothing/);
  assert.equal(decodeSettings('{', getDistance).isErr(), true);
});
