/** Routes and weights. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MeshConfig, MeshRoute } from '../../src/mesh/model.js';
import { matchRoute, TargetChooser } from '../../src/mesh/targets.js';
import { decodeConfiguration } from '../../platform/configuration.js';
import { buildConfiguration } from '../../standins/mesh/meshFleet.js';

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
  test(`${host} ${path} takes the route ${prefix}`, () => {
    assert.equal(matchRoute(CONFIG, host, path)?.pathPrefix, prefix);
  });
}

test('each service gets its share of every few requests', () => {
  const config = decode([
    {
      prefix: '/s/',
      backends: [
        { Service: 'x', Weight: 90 },
        { Service: 'y', Weight: 10 },
      ],
    },
  ]);
  const route = matchRoute(config, 'mesh.example', '/s/') as MeshRoute;
  const chooser = new TargetChooser();
  for (let round = 0; round < 10; round += 1) {
    const chosen = Array.from({ length: 10 }, () => chooser.choose(route));
    assert.equal(chosen.filter((service) => service === 'y').length, 1);
  }
});

test('a service of weight zero gets nothing', () => {
  const config = decode([
    {
      prefix: '/s/',
      backends: [
        { Service: 'x', Weight: 0 },
        { Service: 'y', Weight: 1 },
      ],
    },
  ]);
  const route = matchRoute(config, 'mesh.example', '/s/') as MeshRoute;
  const chooser = new TargetChooser();
  for (let count = 0; count < 50; count += 1) assert.equal(chooser.choose(route), 'y');
});
