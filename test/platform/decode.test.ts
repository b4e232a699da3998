/** Decoding of valid and invalid messages, configurations and settings. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeAnnouncement } from '../../platform/announcement.js';
import { decodeConfiguration } from '../../platform/configuration.js';
import { decodeSettings } from '../../platform/settings.js';
import { buildConfiguration } from '../../standins/mesh/configuration.js';

const HEARTBEAT = {
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
  assert.deepEqual(decode('/instances/i-1/heartbeat', HEARTBEAT), {
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

const INVALID_HEARTBEATS = [
  { name: 'invalid JSON', body: '{"Service":' },
  { name: 'an array as body', body: [HEARTBEAT] },
  { name: 'no service', body: { ...HEARTBEAT, Service: undefined } },
  { name: 'a service of another type', body: { ...HEARTBEAT, Service: 4 } },
  { name: 'an unknown state', body: { ...HEARTBEAT, State: 'sleeping' } },
  { name: 'an address without a port', body: { ...HEARTBEAT, Address: '10.0.0.9' } },
  { name: 'a capacity of zero', body: { ...HEARTBEAT, Capacity: 0 } },
  { name: 'a sequence of type string', body: { ...HEARTBEAT, Sequence: '4' } },
  { name: 'a duration without a unit', body: { ...HEARTBEAT, WarmupLeft: '5' } },
];
for (const { name, body } of INVALID_HEARTBEATS) {
  test(`a heartbeat with ${name} is invalid`, () => {
    assert.equal(decode('/instances/i-1/heartbeat', body).kind, 'invalid');
  });
}

test('a message to an unknown path is invalid', () => {
  assert.equal(decode('/instances/i-1/other', HEARTBEAT).kind, 'invalid');
});

test('a version is decoded as a hexadecimal number', () => {
  const config = decodeConfiguration(buildConfiguration(31, [{ prefix: '/a/' }]));
  assert.equal(typeof config === 'object' && config.version, 31);
});

const INVALID_CONFIGURATIONS = [
  { name: 'no resources', value: { Version: '00000001' } },
  { name: 'no limits', value: { Version: '00000001', Resources: [] } },
  { name: 'a version that is not a number', value: { ...buildConfiguration(1, []), Version: 'x' } },
  { name: 'a string as value', value: 'config' },
];
for (const { name, value } of INVALID_CONFIGURATIONS) {
  test(`a configuration with ${name} is rejected`, () => {
    assert.equal(typeof decodeConfiguration(value), 'string');
  });
}

const getDistancePolicy = () => ({ waitShare: 1, spillRank: 1 });

test('the error for invalid settings names the field', () => {
  const failed = decodeSettings('{"ListenAddrs":{},"PolicyParams":{}}', getDistancePolicy);
  assert.match(
    failed._unsafeUnwrapErr().message,
    /NodeName must be a non-empty string, found nothing/,
  );
  assert.equal(decodeSettings('{', getDistancePolicy).isErr(), true);
});
