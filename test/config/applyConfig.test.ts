import assert from 'node:assert/strict';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { applyConfig } from '../../src/cli/config/applyConfig.js';
import { readParent } from '../../src/cli/config/parentRecord.js';
import { pullConfig } from '../../src/cli/config/pullConfig.js';
import { formatBundleName, HEAD_NAME } from '../../src/core/config/readHead.js';
import { listHistory } from '../../src/core/config/listHistory.js';
import { RETAINED_VERSIONS } from '../../src/core/config/pruneBundles.js';
import { readAccepted } from '../../src/core/config/readAccepted.js';
import { createMemoryPlatform, type MemoryPlatform } from '../../standins/memory/memoryPlatform.js';
import { acceptNext, BASE_TEXT, buildContent, createDir } from './samples.js';

const OPTIONS = { maxAttempts: 3, wait: async () => {} };

async function apply(platform: MemoryPlatform, dir: string) {
  return (await applyConfig(platform, dir, OPTIONS))._unsafeUnwrap();
}

async function edit(dir: string, before: string, after: string, file = 'base.jsonc') {
  const text = await readFile(join(dir, file), 'utf8');
  assert.ok(text.includes(before));
  await writeFile(join(dir, file), text.replace(before, after));
}

/** Applies the sample from one directory and pulls it into the others. */
async function createEditors(context: TestContext, count: number) {
  const platform = createMemoryPlatform();
  const files = { 'base.jsonc': BASE_TEXT, 'overlays/south-a.jsonc': '{}\n' };
  const first = await createDir(context, files);
  assert.equal((await apply(platform, first)).kind, 'accepted');
  const dirs = [first];
  for (let index = 1; index < count; index += 1) {
    const dir = await createDir(context);
    (await pullConfig(platform, dir, false))._unsafeUnwrap();
    dirs.push(dir);
  }
  return { platform, dirs };
}

async function readBase(platform: MemoryPlatform) {
  return JSON.stringify((await readAccepted(platform))._unsafeUnwrap().content.base);
}

// Guards against a retry after a conflict that drops an edit or the comments of a working file.
test('disjoint edits of two editors are accepted and the files are updated', async (context) => {
  const { platform, dirs } = await createEditors(context, 2);
  const [ours = '', theirs = ''] = dirs;
  await edit(theirs, '"slots": 6', '"slots": 8');
  await edit(ours, '"queueLimit": 5', '"queueLimit": 9');
  platform.planAction('write', HEAD_NAME, () => apply(platform, theirs));
  const outcome = await apply(platform, ours);
  assert.ok(outcome.kind === 'accepted' && outcome.version === 3);
  assert.match(await readBase(platform), /"queueLimit":9.*"slots":8/);
  const text = await readFile(join(ours, 'base.jsonc'), 'utf8');
  const expected = BASE_TEXT.replace('"queueLimit": 5', '"queueLimit": 9');
  assert.equal(text, expected.replace('"slots": 6', '"slots": 8'));
  assert.equal((await readParent(ours))._unsafeUnwrap()?.reference.version, 3);
  assert.equal((await apply(platform, ours)).kind, 'unchanged');
  const bundles = [...platform.objects.keys()].filter((name) => name.startsWith('bundles/'));
  assert.equal(bundles.length, 3, 'the superseded bundle is removed');
});

// Guards against skipped or duplicate versions and dropped edits with many concurrent editors.
test('the edits of eight concurrent editors are all accepted', async (context) => {
  const { platform, dirs } = await createEditors(context, 8);
  for (const [index, dir] of dirs.entries()) {
    await edit(dir, '"services": {', `"services": { "s${index}": { "slots": 1 },`);
  }
  const outcomes = await Promise.all(dirs.map((dir) => apply(platform, dir)));
  const versions = outcomes.map((outcome) => outcome.kind === 'accepted' && outcome.version);
  assert.deepEqual(versions.sort(), [2, 3, 4, 5, 6, 7, 8, 9]);
  const base = await readBase(platform);
  dirs.forEach((_, index) => assert.ok(base.includes(`"s${index}"`)));
});

// Guards against an edit that overwrites an overlapping one, and against conflicts without values.
test('overlapping edits are reported as a conflict with path and values', async (context) => {
  const { platform, dirs } = await createEditors(context, 2);
  const [ours = '', theirs = ''] = dirs;
  await edit(theirs, '"slots": 6', '"slots": 8');
  await edit(ours, '"slots": 6', '"slots": 9');
  await apply(platform, theirs);
  const conflict = { path: ['base', 'services', 'skyguide', 'slots'], parent: 6 };
  const expected = { kind: 'conflict', conflicts: [{ ...conflict, ours: 9, theirs: 8 }] };
  assert.deepEqual(await apply(platform, ours), expected);
  const pulled = await pullConfig(platform, ours, false);
  assert.deepEqual(pulled._unsafeUnwrap(), expected);
  assert.match(await readBase(platform), /"skyguide":{"slots":8}/);
});

// Guards against edits that are valid alone and whose merge is invalid.
test('a merge in which the service of a route is missing is refused', async (context) => {
  const { platform, dirs } = await createEditors(context, 2);
  const [ours = '', theirs = ''] = dirs;
  await edit(theirs, '"skyguide": {', '"other": {');
  await edit(
    ours,
    '{}',
    '{ "routes": { "book": { "service": "skyguide" } } }',
    'overlays/south-a.jsonc',
  );
  await apply(platform, theirs);
  const outcome = await apply(platform, ours);
  assert.ok(outcome.kind === 'mergeFaulty');
  assert.match(outcome.faults[0]?.message ?? '', /service "skyguide" is not defined/);
});

// Guards against working directories without the overlays that others added or removed.
test('a merge creates and removes overlay files as others did', async (context) => {
  const { platform, dirs } = await createEditors(context, 1);
  const [dir = ''] = dirs;
  const { content } = (await readAccepted(platform))._unsafeUnwrap();
  await acceptNext(platform, { ...content, overlays: { 'south-b': {} } });
  await edit(dir, '"slots": 10', '"slots": 11');
  assert.equal((await apply(platform, dir)).kind, 'accepted');
  assert.equal(await readFile(join(dir, 'overlays/south-b.jsonc'), 'utf8'), '{}\n');
  await assert.rejects(readFile(join(dir, 'overlays/south-a.jsonc')), /ENOENT/);
});

// Guards against an update that overwrites edits made while the command runs.
test('a file that changes during apply is merged by the next apply', async (context) => {
  const { platform, dirs } = await createEditors(context, 2);
  const [ours = '', theirs = ''] = dirs;
  await edit(theirs, '"slots": 6', '"slots": 8');
  await edit(ours, '"queueLimit": 5', '"queueLimit": 9');
  await apply(platform, theirs);
  platform.planAction('write', HEAD_NAME, () => edit(ours, '"slots": 10', '"slots": 12'));
  const outcome = await apply(platform, ours);
  assert.ok(outcome.kind === 'accepted' && outcome.warnings.length === 1);
  assert.match(outcome.warnings[0] ?? '', /changed while the command ran/);
  assert.equal((await apply(platform, ours)).kind, 'accepted');
  assert.match(await readBase(platform), /"slots":12,"queueLimit":9.*"slots":8/);
});

// Guards against a second version for an edit whose first apply had an unknown outcome.
test('an apply that ended as unknown is not accepted twice', async (context) => {
  const { platform, dirs } = await createEditors(context, 1);
  const [dir = ''] = dirs;
  await edit(dir, '"slots": 6', '"slots": 8');
  platform.planFault('write', HEAD_NAME, 'lost-after');
  platform.planAction('write', HEAD_NAME, async () => {
    platform.planFault('read', HEAD_NAME, 'unavailable', 3);
    platform.planFault('write', HEAD_NAME, 'unavailable', 2);
  });
  assert.equal((await apply(platform, dir)).kind, 'unknown');
  const again = await apply(platform, dir);
  assert.ok(again.kind === 'unchanged' && again.version === 2);
});

// Guards against files that are applied to a version from which they do not descend.
test('files without a parent or with a later parent are refused', async (context) => {
  const { platform, dirs } = await createEditors(context, 1);
  const [known = ''] = dirs;
  const dirWithoutParent = await createDir(context, { 'base.jsonc': BASE_TEXT });
  const refusals = [
    await applyConfig(platform, dirWithoutParent, OPTIONS),
    await pullConfig(platform, dirWithoutParent, false),
    await applyConfig(createMemoryPlatform(), known, OPTIONS),
  ];
  const kinds = refusals.map((refusal) => refusal._unsafeUnwrapErr().kind);
  assert.deepEqual(kinds, ['stale', 'refused', 'mismatch']);
  assert.equal((await pullConfig(platform, dirWithoutParent, true))._unsafeUnwrap().kind, 'pulled');
  assert.equal((await apply(platform, dirWithoutParent)).kind, 'unchanged');
});

// Guards against a corrupt parent record, with which a merge would revert edits of others.
test('a corrupt parent record is refused', async (context) => {
  const { platform, dirs } = await createEditors(context, 1);
  const [dir = ''] = dirs;
  await edit(dir, '"slots":6', '"slots":7', '.lycheelane/parent.json');
  assert.equal((await applyConfig(platform, dir, OPTIONS))._unsafeUnwrapErr().kind, 'invalid');
});

// Guards against a store that grows with every change, and against removal of retained versions.
test('bundles beyond the last 256 versions are removed at apply', async (context) => {
  const { platform, dirs } = await createEditors(context, 1);
  const [dir = ''] = dirs;
  const { content } = (await readAccepted(platform))._unsafeUnwrap();
  const applyNext = async (slots: number) => {
    await edit(dir, '{', `{ // ${slots}\n`);
    const overlay = `{ "services": { "padbook": { "slots": ${slots} } } }`;
    await writeFile(join(dir, 'overlays/south-a.jsonc'), overlay);
    const outcome = await apply(platform, dir);
    assert.ok(outcome.kind === 'accepted' && outcome.warnings.length === 0);
  };
  for (let round = 1; round <= 3; round += 1) {
    for (let index = 1; index < 100; index += 1) await acceptNext(platform, buildContent(index));
    await acceptNext(platform, content);
    (await pullConfig(platform, dir, true))._unsafeUnwrap();
    await applyNext(round);
  }
  for (let slots = 4; slots <= 6; slots += 1) await applyNext(slots);
  const history = (await listHistory(platform, 1000))._unsafeUnwrap();
  assert.equal(history.length, RETAINED_VERSIONS);
  const bundles = [...platform.objects.keys()].filter((name) => name.startsWith('bundles/'));
  const kept = history.map(({ operationId }) => formatBundleName(operationId));
  assert.deepEqual(bundles.sort(), kept.sort());
});
