import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkFiles, formatFileFault } from '../../src/cli/config/checkFiles.js';
import { parseFile, readWorkingFiles } from '../../src/cli/config/workingFiles.js';
import { BASE_TEXT } from './samples.js';

const ROUTE = '"match": { "pathPrefix": "/x" }, "service": "padbook", "repeatability": "once"';

const GET_BOOKINGS = '"/bookings", "methods": ["GET"]';

function listFaults(base: string, overlay = '{}', site = 'south-a'): string[] {
  const files = [parseFile('', 'base', base), parseFile(site, 'overlay', overlay)];
  return checkFiles({ dir: '.', files }).map(formatFileFault);
}

interface FaultCase {
  readonly name: string;
  /** Replacement in the base text. */
  readonly edit?: readonly [string, string];
  readonly overlay?: string;
  /** Expected faults in order: position, path and expected value. */
  readonly faults: readonly RegExp[];
}

const CASES: readonly FaultCase[] = [
  { name: 'no fault', faults: [] },
  {
    name: 'a syntax fault does not suppress faults of other files',
    edit: ['"slots": 10,', '"slots": 10'],
    overlay: '{ "servces": {} }',
    faults: [/^base:5:\d+: .*syntax: a comma is missing/, /^overlay:1:3: .*expected "services"$/],
  },
  { name: 'an empty file', overlay: '', faults: [/^overlay:1:1: .*syntax: a value is missing/] },
  {
    name: 'a file with an array',
    overlay: '[]',
    faults: [/^overlay:1:1: .*not contain an object/],
  },
  {
    name: 'a duplicate key',
    edit: ['"slots": 6', '"slots": 6, "slots": 7'],
    faults: [
      /^base:6:31: services\.skyguide\.slots: duplicate key "slots"; expected a unique key$/,
    ],
  },
  {
    name: 'a string and a number without a canonical form',
    overlay: '{ "services": { "a\\ud800": { "slots": 1e999 } } }',
    faults: [
      /^overlay:1:17: .*an unpaired surrogate; expected valid Unicode text/,
      /^overlay:1:39: .*slots: the number is too large; expected a number below/,
    ],
  },
  {
    name: 'a misspelt key',
    edit: ['"queueLimit"', '"queLimit"'],
    faults: [/^base:5:31: services\.padbook\.queLimit: unknown key.*expected "queueLimit"$/],
  },
  {
    name: 'an unknown key that is similar to no known key',
    edit: ['"queueLimit"', '"colour"'],
    faults: [/unknown key "colour"; expected one of slots, maxConnections/],
  },
  {
    name: 'a wrong type, a value out of range and a value not allowed in one check',
    edit: ['"slots": 10, "queueLimit": 5', '"slots": "10", "queueLimit": -1'],
    overlay: '{ "routes": { "book": { "repeatability": "twice" } } }',
    faults: [
      /^base:5:27: services\.padbook\.slots: wrong type; expected integer$/,
      /^base:5:47: services\.padbook\.queueLimit: number out of range; expected at least 0$/,
      /^overlay:1:42: routes\.book\.repeatability: .*expected one of "repeatable", "once"$/,
    ],
  },
  {
    name: 'an invalid name',
    edit: ['"skyguide": {', '"Sky guide": {'],
    faults: [/^base:6:5: services\["Sky guide"\]: invalid name "Sky guide"/],
  },
  {
    name: 'a name after which the merge library drops keys',
    overlay: '{ "services": { "constructor": { "slots": 1 }, "late": { "slots": 1 } } }',
    faults: [/^overlay:1:17: services\.constructor: .*reserved; expected another name$/],
  },
  {
    name: 'an undefined service in the base',
    edit: ['"service": "padbook"', '"service": "padbok"'],
    faults: [/^base:11:18: routes\.book\.service: service "padbok" is not.*expected "padbook"$/],
  },
  {
    name: 'an undefined service in one rendered site',
    overlay: '{ "routes": { "book": { "service": "nowhere" } } }',
    faults: [/^overlay:1:36: routes\.book\.service: service "nowhere" is not defined/],
  },
  {
    name: 'a deleted service that a route of the base uses',
    overlay: '{ "services": { "padbook": null } }',
    faults: [/^overlay:1:28: services\.padbook: .*route "book" uses it/],
  },
  { name: 'deletion of an unused service', overlay: '{"services":{"skyguide":null}}', faults: [] },
  {
    name: 'deletion of a key that has no default',
    overlay: '{ "services": { "skyguide": { "slots": null } } }',
    faults: [/^overlay:1:17: services\.skyguide: missing key "slots"/],
  },
  {
    name: 'null in the base',
    edit: ['"queueLimit": 5', '"queueLimit": null'],
    faults: [/^base:5:45: services\.padbook\.queueLimit: wrong type/],
  },
  {
    name: 'a service that only an overlay defines, incompletely',
    overlay: '{ "services": { "fresh": { "queueLimit": 1 } } }',
    faults: [/^overlay:1:17: services\.fresh: missing key "slots"/],
  },
  {
    name: 'two routes for the same requests',
    overlay: `{ "routes": { "a": { ${ROUTE} }, "b": { ${ROUTE.replace('/x', '/x/')} } } }`,
    faults: [/^overlay:1:.*routes\.b\.match: matches the same requests as route "a"/],
  },
  {
    name: 'the same path with other methods',
    overlay: `{ "routes": { "view": { ${ROUTE.replace('"/x"', GET_BOOKINGS)} } } }`,
    faults: [],
  },
  {
    name: 'the same path with any method and with a specific one',
    overlay: `{ "routes": { "view": { ${ROUTE.replace('"/x"', '"/bookings"')} } } }`,
    faults: [/routes\.view\.match: matches the same requests as route "book"/],
  },
];

// Guards against faults that are not listed, listed at a wrong position or listed more than once.
for (const { name, edit, overlay, faults } of CASES) {
  test(`check: ${name}`, () => {
    const base = edit ? BASE_TEXT.replace(...edit) : BASE_TEXT;
    assert.notEqual(edit && base, BASE_TEXT);
    const found = listFaults(base, overlay);
    assert.equal(found.length, faults.length, found.join('\n'));
    faults.forEach((pattern, index) => assert.match(found[index] ?? '', pattern));
  });
}

// Guards against an overlay whose name is not a valid name of a data centre.
test('check: an invalid site name', () => {
  assert.match(listFaults(BASE_TEXT, '{}', 'South A').join(), /invalid site name "South A"/);
});

// Guards against a bundle that passes the check and is then refused by the platform.
test('check: a bundle above the limit is refused with its size and the limit', () => {
  const services = Array.from({ length: 1900 }, (_, index) => [
    `${'s'.repeat(55)}-${index}`,
    { slots: 1, maxConnections: 100, queueLimit: 20, coldStartMs: 2000, drainMs: 10000 },
  ]);
  const overlay = JSON.stringify({ services: Object.fromEntries(services) });
  const files = ['', 'a', 'b', 'c', 'd'].map((site) =>
    parseFile(site, site, site === '' ? BASE_TEXT : overlay),
  );
  const faults = checkFiles({ dir: '.', files });
  assert.equal(faults.length, 1);
  assert.match(faults[0]?.message ?? '', /bundle of 1\d{6} bytes/);
  assert.match(faults[0]?.expected ?? '', /at most 1048576 bytes/);
});

// Guards against examples that are invalid under the current schema.
for (const example of ['sternwacht', 'kulissi']) {
  test(`check: the example ${example} has three sites and no fault`, async () => {
    const working = (await readWorkingFiles(`examples/${example}`))._unsafeUnwrap();
    assert.equal(working.files.length, 4);
    assert.deepEqual(checkFiles(working), []);
  });
}
