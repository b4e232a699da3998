import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isDeepStrictEqual } from 'node:util';
import fc from 'fast-check';
import { editText } from '../../src/cli/config/editText.js';
import { parseFile } from '../../src/cli/config/workingFiles.js';
import { getAtPath } from '../../src/core/config/configFault.js';
import { isJsonObject } from '../../src/core/config/diffContent.js';
import { mergeThreeWay } from '../../src/core/config/mergeThreeWay.js';
import type { ConfigContent, JsonObject } from '../../src/core/config/renderSite.js';
import { BASE_TEXT } from './samples.js';

const RUNS = { seed: 20261204, numRuns: 300 };

const key = fc.constantFrom('a', 'b', 'c', 'd');
const leaf = fc.oneof(fc.integer({ min: 0, max: 3 }), fc.constant(null), fc.constant(['x']));
const { object } = fc.letrec<{ object: JsonObject; value: unknown }>((tie) => ({
  object: fc.dictionary(key, tie('value'), { maxKeys: 3, noNullPrototype: true }),
  value: fc.oneof({ maxDepth: 3 }, leaf, tie('object')),
}));
const content: fc.Arbitrary<ConfigContent> = fc.record(
  { base: object, overlays: fc.dictionary(key, object, { maxKeys: 2, noNullPrototype: true }) },
  { noNullPrototype: true },
);

type Edit = readonly [path: string[], value: unknown];

/** Sets a path, or deletes it for undefined; missing parent objects are created. */
function setPath(target: Record<string, unknown>, [head = '', ...rest]: string[], value: unknown) {
  const copy = { ...target };
  if (rest.length > 0) {
    copy[head] = setPath((copy[head] ?? {}) as Record<string, unknown>, rest, value);
  } else if (value === undefined) delete copy[head];
  else copy[head] = value;
  return copy;
}

function applyEdits(start: ConfigContent, edits: readonly Edit[]): ConfigContent {
  const initial = start as unknown as Record<string, unknown>;
  const edited = edits.reduce((now, [path, value]) => setPath(now, path, value), initial);
  return edited as unknown as ConfigContent;
}

const PARENT: ConfigContent = {
  base: { services: { a: { x: 1 }, b: { x: 1 } }, routes: { a: { x: 1 }, b: { x: 1 } } },
  overlays: { a: { services: { a: { x: 1 } } } },
};
const editPath = fc.tuple(
  fc.constantFrom(['base'], ['overlays', 'a']),
  fc.constantFrom('services', 'routes'),
  fc.constantFrom('a', 'b', 'new'),
  fc.constantFrom('x', 'y', 'z'),
);
const edit: fc.Arbitrary<Edit> = fc.tuple(
  editPath.map(([file, ...rest]) => [...file, ...rest]),
  fc.oneof(fc.integer({ min: 2, max: 5 }), fc.constant(undefined)),
);
const toText = ([path]: Edit) => path.join('/');
const edits = fc.uniqueArray(edit, { selector: toText, maxLength: 6 });
const disjoint = fc.tuple(edits, edits).map(([ours, theirs]) => {
  const editedPaths = new Set(ours.map(toText));
  return [ours, theirs.filter((one) => !editedPaths.has(toText(one)))] as const;
});

// Guards against a merge whose result depends on the order of the applies.
test('a merge of disjoint edits is symmetric and has no conflicts', () => {
  fc.assert(
    fc.property(disjoint, ([ours, theirs]) => {
      const [a, b] = [applyEdits(PARENT, ours), applyEdits(PARENT, theirs)];
      const merged = mergeThreeWay(PARENT, a, b)._unsafeUnwrap();
      assert.deepEqual(merged, mergeThreeWay(PARENT, b, a)._unsafeUnwrap());
      assert.deepEqual(merged, applyEdits(a, theirs));
    }),
    RUNS,
  );
});

function listPaths(value: unknown, path: readonly string[] = []): string[] {
  if (!isJsonObject(value)) return [JSON.stringify(path)];
  return Object.keys(value).flatMap((name) => listPaths(value[name], [...path, name]));
}

// Guards against a merge that drops an edit of either side, or that adds one.
test('a merge contains exactly the edits of both sides', () => {
  let merges = 0;
  fc.assert(
    fc.property(content, content, content, (parent, ours, theirs) => {
      const result = mergeThreeWay(parent, ours, theirs);
      assert.equal(result.isOk(), mergeThreeWay(parent, theirs, ours).isOk());
      if (result.isErr()) return;
      merges += 1;
      const versions: ConfigContent[] = [parent, ours, theirs, result.value];
      for (const text of versions.flatMap((one) => listPaths(one))) {
        const path: string[] = JSON.parse(text);
        const [before, a, b, after] = versions.map((one) => getAtPath(one, path));
        if ([before, a, b, after].some(isJsonObject)) continue;
        assert.deepEqual(after, isDeepStrictEqual(a, before) ? b : a, text);
      }
    }),
    { ...RUNS, numRuns: 2000 },
  );
  assert.ok(merges >= 100, `only ${merges} merges without conflict`);
});

// Guards against overlapping edits that are merged instead of reported as conflicts.
const CONFLICTS: readonly [string, Edit, Edit, string][] = [
  ['two values', [['base', 'a'], 2], [['base', 'a'], 3], 'base/a'],
  ['deletion and edit', [['base', 'a'], undefined], [['base', 'a'], 3], 'base/a'],
  ['deletion above an edit', [['base', 'o'], undefined], [['base', 'o', 'x'], 3], 'base/o'],
  [
    'two lists',
    [
      ['base', 'l'],
      [1, 2],
    ],
    [
      ['base', 'l'],
      [1, 3],
    ],
    'base/l',
  ],
  ['null and value', [['overlays', 's', 'n'], null], [['overlays', 's', 'n'], 1], 'overlays/s/n'],
  ['two new values', [['base', 'new'], 1], [['base', 'new'], 2], 'base/new'],
  ['new objects that differ', [['base', 'q', 'x'], 1], [['base', 'q', 'x'], 2], 'base/q/x'],
];
for (const [name, ours, theirs, path] of CONFLICTS) {
  test(`conflict: ${name}`, () => {
    const parent = { base: { a: 1, o: { x: 1 }, l: [1] }, overlays: { s: {} } };
    const sides = [ours, theirs].map((one) => applyEdits(parent, [one]));
    const [a = parent, b = parent] = sides;
    const conflicts = mergeThreeWay(parent, a, b)._unsafeUnwrapErr();
    assert.deepEqual(
      conflicts.map((conflict) => conflict.path.join('/')),
      [path],
    );
  });
}

// Guards against an update of a working file whose value differs from the merged content.
test('an edited text has exactly the target value', () => {
  fc.assert(
    fc.property(object, object, fc.boolean(), (current, target, hasTrailingCommas) => {
      const plain = JSON.stringify(current, null, 2);
      const text = hasTrailingCommas ? plain.replace(/([^{[,\s])\n/g, '$1,\n') : plain;
      const { value } = parseFile('', '', editText(text, current, target));
      assert.deepEqual(value, target);
    }),
    RUNS,
  );
});

// Guards against an update that drops the operator's comments or formatting.
test('an edited text keeps its comments', () => {
  const { value } = parseFile('', '', BASE_TEXT);
  const services = value.services as JsonObject;
  const target = {
    ...value,
    services: { ...services, skyguide: { slots: 7 }, fresh: { slots: 1 } },
  };
  const edited = editText(BASE_TEXT, value, target);
  for (const comment of ['// Mesh of', '// Runs on every host.', '// second service']) {
    assert.ok(edited.includes(comment), `comment ${comment} is missing`);
  }
  assert.ok(edited.includes('"padbook": { "slots": 10, "queueLimit": 5 },'));
});
