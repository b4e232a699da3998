import assert from 'node:assert/strict';
import { test } from 'node:test';
import { acceptBundle } from '../../src/core/config/acceptBundle.js';
import { buildBundle, NO_PARENT } from '../../src/core/config/buildBundle.js';
import { listHistory } from '../../src/core/config/listHistory.js';
import { pruneOrphanedBundles } from '../../src/core/config/pruneOrphanedBundles.js';
import { formatBundleName, HEAD_NAME, readHead } from '../../src/core/config/readHead.js';
import { createMemoryPlatform, type MemoryPlatform } from '../../standins/memory/memoryPlatform.js';
import { acceptNext, buildContent } from './samples.js';

const OPTIONS = { maxAttempts: 3, wait: async () => {} };
const BUNDLES = 'bundles/';

async function prune(platform: MemoryPlatform, minAgeMs = 0) {
  return (await pruneOrphanedBundles(platform, { minAgeMs }))._unsafeUnwrap();
}

async function acceptMany(platform: MemoryPlatform, count: number) {
  for (let index = 0; index < count; index += 1) await acceptNext(platform, buildContent(index));
}

/** An apply with a pause before it starts to write; `run` has it accepted, or tries to. */
async function prepareApply(platform: MemoryPlatform, slots = 50) {
  const head = (await readHead(platform))._unsafeUnwrap();
  const bundle = buildBundle(buildContent(slots), head?.value ?? NO_PARENT);
  const name = formatBundleName(bundle.operationId);
  const run = async () => {
    const result = await acceptBundle(platform, bundle, head, OPTIONS);
    return result.isOk() ? result.value.kind : result.error.kind;
  };
  /** Ends between the two writes, as a crash does. */
  const crash = async () => {
    (await platform.create(name, bundle))._unsafeUnwrap();
  };
  return { bundle, name, run, crash };
}

type PreparedApply = Awaited<ReturnType<typeof prepareApply>>;
type Scenario = (fake: MemoryPlatform, apply: PreparedApply) => Promise<unknown>;

/** What happens at version 2, how an apply at that version ends, and whether its bundle is left. */
const CASES: readonly [string, Scenario, string, boolean][] = [
  [
    'pauses between its two writes',
    async (fake, { run }) => {
      fake.planAction('write', HEAD_NAME, () => prune(fake));
      return run();
    },
    'accepted',
    true,
  ],
  [
    'pauses before its first write, while another version is accepted',
    async (fake, { run }) => {
      fake.planAction('write', BUNDLES, async () => {
        await acceptMany(fake, 1);
        fake.planAction('write', HEAD_NAME, () => prune(fake));
      });
      return run();
    },
    'superseded',
    false,
  ],
  [
    'loses the answer to its bundle write and repeats it after the removal',
    async (fake, { run }) => {
      fake.planFault('write', BUNDLES, 'lost-after');
      fake.planAction('write', BUNDLES, async () => {
        fake.planAction('write', BUNDLES, async () => {
          await acceptMany(fake, 1);
          await prune(fake);
        });
      });
      return run();
    },
    'superseded',
    false,
  ],
  [
    'loses the answer to its head write',
    async (fake, { run }) => {
      fake.planFault('write', HEAD_NAME, 'lost-after');
      return run();
    },
    'accepted',
    true,
  ],
  [
    'has a head write under way that arrives after all',
    async (fake, { run }) => {
      fake.planFault('write', HEAD_NAME, 'held', 3);
      const kind = await run();
      await prune(fake);
      fake.deliver();
      return kind;
    },
    'unknown',
    true,
  ],
  [
    'has a head write under way that arrives behind another version',
    async (fake, { run }) => {
      fake.planFault('write', HEAD_NAME, 'held', 3);
      const kind = await run();
      await acceptMany(fake, 1);
      await prune(fake);
      fake.deliver();
      return kind;
    },
    'unknown',
    false,
  ],
  [
    'crashes between its writes, and no other version is accepted',
    async (_, { crash }) => crash(),
    'undefined',
    true,
  ],
  [
    'crashes between its writes, and another version is accepted',
    async (fake, { crash }) => {
      await crash();
      await acceptMany(fake, 1);
    },
    'undefined',
    false,
  ],
  [
    'crashes, and more versions are accepted than the head lists',
    async (fake, { crash }) => {
      await crash();
      await acceptMany(fake, 140);
    },
    'undefined',
    false,
  ],
];

// Guards against the removal of a bundle that the head names or may still name, and against bundles
// of crashed applies that stay for ever.
for (const [name, runScenario, expected, isKept] of CASES) {
  test(`prune: an apply that ${name}`, async () => {
    const platform = createMemoryPlatform();
    await acceptMany(platform, 2);
    const apply = await prepareApply(platform);
    assert.equal(String(await runScenario(platform, apply)), expected);
    await prune(platform);
    assert.equal(platform.objects.has(apply.name), isKept);
    const head = (await readHead(platform))._unsafeUnwrap()?.value;
    const history = (await listHistory(platform, 1000))._unsafeUnwrap();
    assert.equal(history.length, head?.version, 'a bundle of the history is missing');
  });
}

/** A bundle that was left by a crash and whose version another operation then took. */
async function createOrphanedBundle() {
  const platform = createMemoryPlatform();
  await acceptMany(platform, 1);
  const lost = await prepareApply(platform);
  await lost.crash();
  await acceptMany(platform, 1);
  return { platform, ...lost };
}

// Guards against a failed or unanswered removal that is reported as done, or forgotten.
for (const fault of ['unavailable', 'lost-before', 'lost-after'] as const) {
  test(`prune: a removal that is ${fault} is reported and the next run settles it`, async () => {
    const { platform, bundle, name } = await createOrphanedBundle();
    platform.planFault('remove', BUNDLES, fault);
    assert.deepEqual((await prune(platform)).failed, [bundle.operationId]);
    const again = await prune(platform);
    assert.equal(again.removed.length, fault === 'lost-after' ? 0 : 1);
    assert.equal(platform.objects.has(name), false);
  });
}

// Guards against a removal without condition, of an object that was written since the list.
test('prune: a bundle that is written again meanwhile is left to the next run', async () => {
  const { platform, bundle, name } = await createOrphanedBundle();
  platform.planAction('remove', BUNDLES, async () => platform.put(name, bundle));
  assert.deepEqual((await prune(platform)).failed, [bundle.operationId]);
  assert.ok(platform.objects.has(name));
});

// Guards against bundles that are removed while `config status` may be asked about them, and
// against objects of others that are taken for bundles.
test('prune: young and malformed objects are kept', async () => {
  const { platform, name } = await createOrphanedBundle();
  platform.put('bundles/foreign', { version: 1 });
  assert.deepEqual((await prune(platform, 60_000)).kept, {
    accepted: 2,
    open: 0,
    recent: 1,
    unclear: 0,
    malformed: 1,
  });
  assert.ok(platform.objects.has(name));
  const dry = (
    await pruneOrphanedBundles(platform, { minAgeMs: 0, isDryRun: true })
  )._unsafeUnwrap();
  assert.equal(dry.removed.length, 1);
  assert.ok(platform.objects.has(name));
});
