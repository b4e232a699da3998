/** Route matching and weighted choice of a target service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MeshConfig, MeshRoute } from '../../src/mesh/model.js';
import { matchRoute, TargetChooser } from '../../src/mesh/targets.js';
import { decodeConfiguration } from '../../platform/configuration.js';
import { buildConfiguration } from '../../standins/mesh/configuration.js';

function decode(routes: Parameters<typeof buildConfiguration>[1]): MeshConfig {
  const config = decodeConfiguration(buildConfiguration(12, routes));
  if (typeof config === 'string') throw new Error(config);
  return config;
}

const CONFIG = decode([{ prefix: '/a/' }, { prefix: '/a/b/' }, { prefix: '/c/' }]);

const MATCHES = [
  { host: 'mesh.example', path: '/a/x', prefix: '/a/' },
  { host: 'mesh.example', path: '/a/b/x', prefix: '/a/b/' },
  { host: 'mesh.example', path: '/a/b?x=/c/', prefix: '/a/' },
  { host: 'MESH.example:8080', path: '/c/?q', prefix: '/c/' },
  { host: 'mesh.example', path: '/a', prefix: undefined },
  { host: 'other.example', path: '/a/', prefix: undefined },
  { host: undefined, path: '/a/', prefix: undefined },
];
for (const { host, path, prefix } of MATCHES) {
  test(`${host} ${path} matches the route ${prefix}`, () => {
    assert.equal(matchRoute(CONFIG, host, path)?.pathPrefix, prefix);
  });
}

/** Returns a route with a traffic split by weight. */
function buildSplit(weights: Readonly<Record<string, number>>): MeshRoute {
  const backends = Object.entries(weights).map(([Service, Weight]) => ({ Service, Weight }));
  const config = decode([{ prefix: '/s/', backends }]);
  return matchRoute(config, 'mesh.example', '/s/') as MeshRoute;
}

test('each service gets its share of every ten requests', () => {
  const route = buildSplit({ x: 90, y: 10 });
  const chooser = new TargetChooser();
  for (let round = 0; round < 10; round += 1) {
    const chosen = Array.from({ length: 10 }, () => chooser.choose(route));
    assert.equal(chosen.filter((service) => service === 'y').length, 1);
  }
});

test('a service of weight zero gets no requests', () => {
  const route = buildSplit({ x: 0, y: 1 });
  const chooser = new TargetChooser();
  for (let count = 0; count < 50; count += 1) assert.equal(chooser.choose(route), 'y');
});
