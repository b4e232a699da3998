/** Changes between versions of the configuration: computing, combining and applying them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { applyDelta, diffConfigs, mergeDeltas } from '../../src/mesh/configDelta.js';
import { ConfigHistory } from '../../src/mesh/configHistory.js';
import type { MeshConfig, MeshRoute } from '../../src/mesh/model.js';
import { buildRouteTable } from '../../src/mesh/routeTable.js';
import { brandText, brandVersion, type ServiceName } from '../../src/types/ids.js';

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

function buildRoute(index: number, timeoutMs: number): MeshRoute {
  return {
    name: brandText(`r-${index}`),
    host: `host-${index % 2}.example`,
    pathPrefix: `/p${'x'.repeat(index)}/`,
    targets: [{ service: brandText('pads'), weight: 1 }],
    isIdempotent: true,
    timeoutMs,
    objectiveMs: 500,
    maxAttempts: 2,
    priority: 0,
  };
}

/** Builds a version whose routes have the given timeouts; 0 leaves a route out. */
function buildConfig(version: number, timeouts: readonly number[]): MeshConfig {
  const routes = timeouts.flatMap((timeoutMs, index) =>
    timeoutMs === 0 ? [] : [buildRoute(index, timeoutMs)],
  );
  // The path changes with the first route, so that some deltas leave it out.
  const healthPaths = [{ service: brandText<ServiceName>('pads'), path: `/h/${timeouts[0]}` }];
  const table = buildRouteTable(routes);
  return {
    version: brandVersion(version),
    routes: table,
    limits: LIMITS,
    healthPaths,
    accounts: [],
  };
}

const TIMEOUTS = fc.array(fc.integer({ min: 0, max: 3 }), { minLength: 6, maxLength: 6 });

test('a series of deltas, combined, leads to the last version', () => {
  fc.assert(
    fc.property(fc.array(TIMEOUTS, { minLength: 2, maxLength: 6 }), (series) => {
      const configs = series.map((timeouts, index) => buildConfig(index + 1, timeouts));
      const deltas = configs
        .slice(1)
        .map((config, index) => diffConfigs(configs[index]!, config, index));
      const applied = applyDelta(configs[0]!, deltas.reduce(mergeDeltas));
      const sent = JSON.parse(JSON.stringify(deltas.reduce(mergeDeltas))) as (typeof deltas)[0];
      assert.deepEqual(applied._unsafeUnwrap(), configs.at(-1));
      assert.deepEqual(applyDelta(configs[0]!, sent)._unsafeUnwrap(), configs.at(-1));
    }),
  );
});

test('a delta holds only what changed', () => {
  const delta = diffConfigs(buildConfig(1, [1, 1, 1]), buildConfig(4, [1, 2, 0, 1]), 9);
  assert.equal(delta.healthPaths, undefined);
  assert.deepEqual(delta.routes.map(({ name }) => name).sort(), ['r-1', 'r-3']);
  assert.deepEqual(delta.removed, ['r-2']);
});

test('a delta for another base, an older version or other routes is refused', () => {
  const base = buildConfig(2, [1, 1]);
  const delta = diffConfigs(base, buildConfig(3, [1, 2]), 7);
  assert.ok(applyDelta(buildConfig(1, [1, 1]), delta).isErr());
  assert.ok(applyDelta(base, { ...delta, toVersion: brandVersion(2) }).isErr());
  assert.ok(applyDelta(buildConfig(2, [1, 1, 1]), delta).isErr());
});

test('a delta of another build with an invalid route or invalid limits is refused', () => {
  const base = buildConfig(2, [1, 1]);
  const delta = diffConfigs(base, buildConfig(3, [1, 2]), 7);
  const [route] = delta.routes;
  const { timeoutMs, ...lacking } = route!;
  for (const invalid of [lacking, { ...route, targets: 'pads' }, null]) {
    const routes = [invalid as unknown as MeshRoute];
    assert.ok(applyDelta(base, { ...delta, routes }).isErr(), JSON.stringify(invalid));
  }
  const limits = { ...LIMITS, idleTimeoutMs: timeoutMs.toString() as unknown as number };
  assert.ok(applyDelta(base, { ...delta, limits }).isErr());
  assert.ok(applyDelta(base, delta).isOk());
});

test('the history answers from any version that it has seen, and from no other', () => {
  const history = new ConfigHistory();
  const configs = [2, 3, 7].map((version) => buildConfig(version, [version, 1]));
  for (const [index, config] of configs.entries()) history.record(config, 10 + index);
  const changes = history.findChanges(brandVersion(2));
  assert.equal(changes?.revision, 12);
  assert.deepEqual(applyDelta(configs[0]!, changes)._unsafeUnwrap(), configs[2]);
  assert.equal(history.findChanges(brandVersion(1)), undefined);
  assert.equal(history.findChanges(brandVersion(7)), undefined);
});

/** Other values of each field of a route. */
const CHANGES: {
  readonly [Field in Exclude<keyof MeshRoute, 'name'>]: readonly MeshRoute[Field][];
} = {
  host: ['other.example'],
  pathPrefix: ['/other/'],
  targets: [
    [{ service: brandText('pads'), weight: 2 }],
    [{ service: brandText('decks'), weight: 1 }],
    [1, 2].map((weight) => ({ service: brandText('pads'), weight })),
  ],
  isIdempotent: [false],
  timeoutMs: [2],
  objectiveMs: [501],
  maxAttempts: [3],
  priority: [1],
  allowsAnonymous: [true],
};
for (const [field, values] of Object.entries(CHANGES)) {
  for (const value of values) {
    test(`a delta holds a route of which only ${field} is ${JSON.stringify(value)}`, () => {
      const route = buildRoute(0, 1);
      const changed: MeshRoute = { ...route, [field]: value };
      const [before, after] = [route, changed].map((one, index) => {
        const routes = buildRouteTable([one]);
        return { version: brandVersion(index + 1), routes, limits: LIMITS };
      });
      assert.deepEqual(diffConfigs(before!, after!, 1).routes, [changed]);
    });
  }
}

test('a delta leaves out a route that was decoded again without a change', () => {
  const { routes } = diffConfigs(buildConfig(1, [1, 1]), buildConfig(2, [1, 1]), 1);
  assert.deepEqual(routes, []);
});
