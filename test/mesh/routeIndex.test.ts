/** Search of the longest matching prefix among many routes of a host. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MeshRoute } from '../../src/mesh/model.js';
import { findLongestPrefix } from '../../src/mesh/routeIndex.js';
import { buildRouteTable } from '../../src/mesh/routeTable.js';

const PATH = fc
  .array(fc.constantFrom('a', 'b', 'ab', ''), { maxLength: 4 })
  .map((parts) => `/${parts.join('/')}`);

test('the search finds the route that a comparison with each prefix finds', () => {
  fc.assert(
    fc.property(fc.array(PATH, { maxLength: 12 }), PATH, (prefixes, path) => {
      const routes = prefixes.map(
        (pathPrefix, index) => ({ host: 'h', name: `r-${index}`, pathPrefix }) as MeshRoute,
      );
      const ofHost = buildRouteTable(routes).get('h') ?? [];
      const expected = ofHost.find(({ pathPrefix }) => path.startsWith(pathPrefix));
      assert.equal(findLongestPrefix(ofHost, path), expected);
    }),
  );
});
