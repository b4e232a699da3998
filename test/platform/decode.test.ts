/** Decoding of valid and invalid messages, configurations and settings. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeAnnouncement } from '../../platform/announcement.js';
import { decodeConfiguration } from '../../platform/configuration.js';
import { decodeSettings } from '../../platform/settings.js';
import { ConfigHolder } from '../../src/mesh/configHolder.js';
import { matchRoute } from '../../src/mesh/targets.js';
import { buildConfiguration } from '../../standins/mesh/configuration.js';
import { encodeWithRawJson, formatNested, RawJson } from '../../standins/mesh/oddValues.js';

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
    Buffer.from(typeof body === 'string' ? body : encodeWithRawJson(body)),
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
      version: 'v1',
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
  { name: 'a duration of 400 digits', body: { ...HEARTBEAT, WarmupLeft: `${'9'.repeat(400)}ms` } },
  { name: 'a duration beyond any timer', body: { ...HEARTBEAT, WarmupLeft: '99999999s' } },
  { name: 'a port out of range', body: { ...HEARTBEAT, Address: '10.0.0.9:99999' } },
  { name: 'a nested address', body: { ...HEARTBEAT, Address: formatNested(3000) } },
  { name: 'a nested service', body: { ...HEARTBEAT, Service: formatNested(3000) } },
  { name: 'nesting of 20,000 levels', body: '['.repeat(20_000) },
  { name: 'a capacity of half a slot', body: { ...HEARTBEAT, Capacity: 1.5 } },
  { name: 'a capacity of 1e308', body: { ...HEARTBEAT, Capacity: 1e308 } },
  { name: 'a capacity of 1e999', body: { ...HEARTBEAT, Capacity: new RawJson('1e999') } },
  { name: 'a negative sequence', body: { ...HEARTBEAT, Sequence: -1 } },
  { name: 'a sequence of 1e308', body: { ...HEARTBEAT, Sequence: 1e308 } },
  { name: 'a start time of 1e300', body: { ...HEARTBEAT, born: 1e300 } },
  { name: 'a start time in the year 3000', body: { ...HEARTBEAT, born: Date.UTC(3000, 0, 1) } },
  { name: 'a fraction as start time', body: { ...HEARTBEAT, born: 1700.5 } },
  { name: 'a start time as text', body: { ...HEARTBEAT, born: '1700' } },
];
for (const { name, body } of INVALID_HEARTBEATS) {
  test(`a heartbeat with ${name} is invalid`, () => {
    assert.equal(decode('/instances/i-1/heartbeat', body).kind, 'invalid');
  });
}

for (const born of [1e300, Date.UTC(3000, 0, 1), -1, 0.5, '1', {}]) {
  test(`a deregistration with the start ${JSON.stringify(born)} is invalid`, () => {
    assert.equal(decode('/instances/i-1/deregister', { born }).kind, 'invalid');
  });
}

for (const id of ['i%0d%0aX:%20y', 'i%00', '%c4%8a', '%ff', '%', 'i%201', 'i'.repeat(5000)]) {
  test(`a message of an instance named ${id.slice(0, 20)} is invalid`, () => {
    assert.equal(decode(`/instances/${id}/heartbeat`, HEARTBEAT).kind, 'invalid');
    assert.equal(decode(`/instances/${id}/deregister`, '').kind, 'invalid');
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

interface OddConfiguration {
  readonly title: string;
  /** Field of the first route, or of the limits. */
  readonly field: string;
  readonly value: unknown;
}

const ODD_CONFIGURATIONS: readonly OddConfiguration[] = [
  { title: 'a timeout of 400 digits', field: 'Timeout', value: `${'9'.repeat(400)}ms` },
  { title: 'a timeout beyond any timer', field: 'Timeout', value: '99999999s' },
  { title: 'a negative timeout', field: 'Timeout', value: '-1s' },
  { title: 'a nested timeout', field: 'Timeout', value: formatNested(5000) },
  { title: 'a latency of 400 digits', field: 'TargetLatency', value: `${'9'.repeat(400)}s` },
  { title: 'a priority of 1e308', field: 'Priority', value: 1e308 },
  { title: 'a priority of 1e999', field: 'Priority', value: new RawJson('1e999') },
  { title: 'attempts of 1e308', field: 'MaxAttempts', value: 1e308 },
  { title: 'a weight of 1e308', field: 'Backends', value: [{ Service: 'a', Weight: 1e308 }] },
  { title: 'a nested target', field: 'Backends', value: [formatNested(5000)] },
  { title: 'a host that is an object', field: 'Host', value: formatNested(5000) },
  { title: 'an idle time of 400 digits', field: 'IdleTimeout', value: `${'9'.repeat(400)}s` },
  { title: 'a header time beyond any timer', field: 'HeaderTimeout', value: '99999999s' },
  { title: 'a body size of 1e308', field: 'MaxBodyBytes', value: 1e308 },
  { title: 'a header size of 1e999', field: 'MaxHeaderBytes', value: new RawJson('1e999') },
];

function buildOddConfiguration(version: number, { field, value }: OddConfiguration): unknown {
  const configuration = JSON.parse(
    JSON.stringify(buildConfiguration(version, [{ prefix: '/a/' }])),
  ) as { Resources: { EntryKind: string; Spec: Record<string, unknown> }[] };
  const isLimit = /^(Max.*Bytes|IdleTimeout|HeaderTimeout)$/.test(field);
  const entry = configuration.Resources.find(
    ({ EntryKind: kind }) => (kind === 'Limits') === isLimit,
  );
  entry!.Spec[field] = value;
  return JSON.parse(encodeWithRawJson(configuration));
}

for (const odd of ODD_CONFIGURATIONS) {
  test(`a configuration with ${odd.title} keeps the version in force`, () => {
    const lines: string[] = [];
    const holder = new ConfigHolder({
      name: 'main',
      decode: decodeConfiguration,
      log: { write: (_level, event) => lines.push(event) },
    });
    const put = (revision: number, value: unknown) =>
      holder.applyEvent({ kind: 'stored', object: { name: 'main', revision, value } });
    put(5, buildConfiguration(1, [{ prefix: '/a/' }]));
    put(6, buildOddConfiguration(2, odd));
    assert.equal(holder.get()?.version, 1);
    assert.ok(lines.includes('config-refused'));
    put(7, buildConfiguration(3, [{ prefix: '/a/' }]));
    assert.equal(holder.get()?.version, 3);
  });
}

test('an entry of a kind that is not known does not matter, whatever it holds', () => {
  const configuration = buildConfiguration(2, [{ prefix: '/a/' }]) as { Resources: object[] };
  configuration.Resources.push({ EntryKind: 'Quotas', Metadata: null, Spec: [7] });
  assert.equal(typeof decodeConfiguration(configuration), 'object');
});

const ODD_SERVICES: readonly (readonly [title: string, change: object])[] = [
  ['no fields', { Metadata: undefined, Spec: undefined }],
  ['fields that are a list', { Spec: [7] }],
  ['fields that are text', { Spec: 'healthz' }],
  ['a name that is a number', { Metadata: { Name: 7 } }],
  ['metadata that is text', { Metadata: 'pads' }],
  ['no health path', { Spec: {} }],
  ['an empty health path', { Spec: { HealthPath: '' } }],
  ['a health path that is a number', { Spec: { HealthPath: 7 } }],
  ['a health path that no request line can hold', { Spec: { HealthPath: '/a b' } }],
];
for (const [title, change] of ODD_SERVICES) {
  test(`a service with ${title} has no health path, and the version is used`, () => {
    const configuration = buildConfiguration(2, [{ prefix: '/a/' }]) as { Resources: object[] };
    const sound = { Metadata: { Name: 'odd' }, Spec: { HealthPath: '/odd' } };
    configuration.Resources.push({ EntryKind: 'Services', ...sound, ...change });
    const config = decodeConfiguration(configuration);
    assert.ok(typeof config === 'object', String(config));
    assert.deepEqual(config.healthPaths, [{ service: 'pads', path: '/healthz' }]);
  });
}

test('names that objects inherit are plain names of routes, services and hosts', () => {
  for (const name of ['__proto__', 'constructor', 'toString']) {
    const value = buildConfiguration(2, [{ prefix: '/a/', service: name }]);
    const renamed = JSON.parse(
      JSON.stringify(value).replace('"r-0"', `"${name}"`).replace('"mesh.example"', `"${name}"`),
    ) as unknown;
    const config = decodeConfiguration(renamed);
    assert.ok(typeof config === 'object', name);
    assert.equal(matchRoute(config, name, '/a/')?.targets[0]?.service, name);
    assert.equal(matchRoute(config, 'valueOf', '/a/'), undefined);
  }
});

const getDistancePolicy = () => ({ waitShare: 1, spillRank: 1 });

test('the error for invalid settings names the field', () => {
  const failed = decodeSettings('{"ListenAddrs":{},"PolicyParams":{}}', getDistancePolicy);
  assert.match(
    failed._unsafeUnwrapErr().message,
    /NodeName must be a non-empty string, found nothing/,
  );
  assert.equal(decodeSettings('{', getDistancePolicy).isErr(), true);
});
