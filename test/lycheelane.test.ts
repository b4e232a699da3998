import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkConfig, formatFault, parseSettings, startNode } from 'lycheelane';

// Guards against a package.json entry point that does not resolve or lacks documented exports.
test('the package exports the functions that check a configuration and embed the daemon', () => {
  const route = { match: { pathPrefix: '/' }, service: 'absent', repeatability: 'repeatable' };
  const { faults } = checkConfig({
    base: { services: {}, routes: { front: route } },
    overlays: {},
  });
  assert.match(faults.map(formatFault).join('\n'), /absent/);
  assert.equal(parseSettings('{', 'node.jsonc').isErr(), true);
  assert.equal(typeof startNode, 'function');
});
