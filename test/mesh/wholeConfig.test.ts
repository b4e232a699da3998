/** Whole versions between nodes: their size, and what is refused. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeConfiguration } from '../../platform/configuration.js';
import { decodeConfigAnswer, encodeConfigAnswer } from '../../src/mesh/configAnswers.js';
import { ConfigHistory } from '../../src/mesh/configHistory.js';
import { ConfigHolder } from '../../src/mesh/configHolder.js';
import type { MeshConfig, MeshRoute } from '../../src/mesh/model.js';
import { buildWhole, restoreWhole, type WholeConfig } from '../../src/mesh/wholeConfig.js';
import { brandVersion, NO_VERSION } from '../../src/types/ids.js';
import { buildConfiguration } from '../../standins/mesh/configuration.js';

const ROUTE_COUNT = 1600;
const SEED = 31;

function buildConfig(version: number, prefixes: readonly string[]): MeshConfig {
  const routes = prefixes.map((prefix, index) => ({
    prefix,
    timeoutMs: 1000 + ((index * 7919) % 3000),
    objectiveMs: 100 + ((index * 104_729) % 900),
  }));
  const decoded = decodeConfiguration(buildConfiguration(version, routes));
  assert.ok(typeof decoded !== 'string');
  return decoded;
}

const CONFIG = buildConfig(7, ['/a/', '/b/', '/long/c/']);
const WHOLE = buildWhole(CONFIG, 12);

test('1,600 routes with names of a day fit into an answer of 50 KB', async () => {
  const prefix = fc.stringMatching(/^[a-z]{4}[0-9]{1,3}$/).map((text) => `/${text}/`);
  const [prefixes] = fc.sample(
    fc.uniqueArray(prefix, { minLength: ROUTE_COUNT, maxLength: ROUTE_COUNT }),
    { numRuns: 1, seed: SEED },
  );
  const config = buildConfig(7, prefixes!);
  const answer = { kind: 'whole', revision: 12, whole: buildWhole(config, 12) } as const;
  const encoded = await encodeConfigAnswer(answer);
  assert.ok(encoded.length < 50_000, `${encoded.length} bytes`);
  const decoded = (await decodeConfigAnswer(encoded))._unsafeUnwrap();
  assert.ok(decoded.kind === 'whole');
  assert.deepEqual(restoreWhole(decoded.whole, NO_VERSION)._unsafeUnwrap(), config);
});

test('a version is encoded once, and anew when its revision is lost', async () => {
  const history = new ConfigHistory();
  assert.equal(history.findWhole(), undefined);
  history.record(CONFIG, 12);
  const encode = () =>
    encodeConfigAnswer({ kind: 'whole', revision: 20, whole: history.findWhole()! });
  const first = encode();
  assert.equal(encode(), first);
  history.forgetRevisions();
  assert.notEqual(encode(), first);
  assert.equal(history.findWhole()?.revision, 0);
  history.record(buildConfig(8, ['/a/']), 14);
  assert.equal(history.findWhole()?.version, 8);
});

test('a whole version that is not later or not complete is refused', () => {
  const [first] = WHOLE.routes;
  const refused: readonly WholeConfig[] = [
    { ...WHOLE, version: brandVersion(6) },
    { ...WHOLE, routes: WHOLE.routes.slice(1) },
    { ...WHOLE, routes: [...WHOLE.routes, first!] },
    { ...WHOLE, routeCount: 4 },
  ];
  for (const whole of refused) assert.ok(restoreWhole(whole, brandVersion(6)).isErr());
  assert.ok(restoreWhole(WHOLE, brandVersion(6)).isOk());
  assert.ok(restoreWhole(WHOLE, brandVersion(7)).isErr());
});

const INVALID_FIELDS: readonly (readonly [field: keyof MeshRoute, value: unknown])[] = [
  ['name', ''],
  ['name', undefined],
  ['host', 7],
  ['pathPrefix', null],
  ['targets', undefined],
  ['targets', [{ service: 'pads' }]],
  ['targets', [{ service: '', weight: 1 }]],
  ['targets', [null]],
  ['isIdempotent', 'yes'],
  ['timeoutMs', undefined],
  ['objectiveMs', '500'],
  ['maxAttempts', -1],
  ['priority', NaN],
];

test('a version with an invalid route or invalid limits is refused whole', () => {
  const lines: string[] = [];
  const holder = new ConfigHolder({
    name: 'main',
    decode: () => 'unused',
    log: { write: (_level, event) => lines.push(event) },
  });
  const [first, ...rest] = WHOLE.routes;
  const invalidRoutes = INVALID_FIELDS.map(([field, value]) => ({ ...first, [field]: value }));
  for (const route of [...invalidRoutes, null, 'route']) {
    const routes = [...rest, route as MeshRoute];
    assert.ok(!holder.installWhole({ ...WHOLE, routes }), JSON.stringify(route));
  }
  const limits = { ...WHOLE.limits, maxBodyBytes: 'many' as unknown as number };
  assert.ok(!holder.installWhole({ ...WHOLE, limits }));
  assert.equal(holder.get(), undefined);
  assert.deepEqual([...new Set(lines)], ['config-whole-refused']);
  assert.ok(holder.installWhole(WHOLE));
  assert.deepEqual(holder.get(), CONFIG);
});
