import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkConfig, formatFault, parseSettings, startNode } from 'lycheelane';

// Guards against an entry in package.json that does not resolve, or lacks what the docs promise.
test('the package checks a configuration and offers the parts that embed the daemon', () => {
  const route = { match: { pathPrefix: '/' }, service: 'absent', repeatability: 'repeatable' };
  const { faults } = checkConfig({
    base: { services: {}, routes: { front: route } },
    overlays: {},
  });
  assert.match(faults.map(formatFault).join('\n'), /absent/);
  assert.equal(parseSettings('{', 'node.jsonc').isErr(), true);
  assert.equal(typeof startNode, 'function');
});
