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

/** Prepares an apply up to its first write; `run` attempts to have its bundle accepted. */
async function prepareApply(platform: MemoryPlatform, slots = 50) {
  const head = (await readHead(platform))._unsafeUnwrap();
  const bundle = buildBundle(buildContent(slots), head?.value ?? NO_PARENT);
  const name = formatBundleName(bundle.operationId);
  const run = async () => {
    const result = await acceptBundle(platform, bundle, head, OPTIONS);
    return result.isOk() ? result.value.kind : result.error.kind;
  };
  /** Performs only the first of the two writes, as an apply that crashes between them. */
  const crash = async () => {
    (await platform.create(name, bundle))._unsafeUnwrap();
  };
  return { bundle, name, run, crash };
}

type PreparedApply = Awaited<ReturnType<typeof prepareApply>>;
type Scenario = (fake: MemoryPlatform, apply: PreparedApply) => Promise<unknown>;

/** Name, steps, expected outcome of an apply of version 3, and whether its bundle is retained. */
const CASES: readonly [string, Scenario, string, boolean][] = [
  [
    'is delayed between its two writes',
    async (fake, { run }) => {
      fake.planAction('write', HEAD_NAME, () => prune(fake));
      return run();
    },
    'accepted',
    true,
  ],
  [
    'is delayed before its first write, while another version is accepted',
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
    'does not receive the response to its bundle write and retries it after the removal',
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
    'does not receive the response to its head write',
    async (fake, { run }) => {
      fake.planFault('write', HEAD_NAME, 'lost-after');
      return run();
    },
    'accepted',
    true,
  ],
  [
    'has a delayed head write that takes effect',
    async (fake, { run }) => {
      fake.planFault('write', HEAD_NAME, 'held', 3);
      const kind = await run();
      await prune(fake);
      fake.applyDelayedWrites();
      return kind;
    },
    'unknown',
    true,
  ],
  [
    'has a delayed head write that arrives after another version is accepted',
    async (fake, { run }) => {
      fake.planFault('write', HEAD_NAME, 'held', 3);
      const kind = await run();
      await acceptMany(fake, 1);
      await prune(fake);
      fake.applyDelayedWrites();
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
    'crashes, after which more versions are accepted than the head lists',
    async (fake, { crash }) => {
      await crash();
      await acceptMany(fake, 140);
    },
    'undefined',
    false,
  ],
];

// Guards against the removal of a bundle that is or may become the head, and against bundles of
// crashed applies that are never removed.
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

/** Creates the bundle of a crashed apply and accepts another operation as its version. */
async function createOrphanedBundle() {
  const platform = createMemoryPlatform();
  await acceptMany(platform, 1);
  const crashed = await prepareApply(platform);
  await crashed.crash();
  await acceptMany(platform, 1);
  return { platform, ...crashed };
}

// Guards against a removal without a successful response that is reported as completed, or that is
// not retried.
for (const fault of ['unavailable', 'lost-before', 'lost-after'] as const) {
  test(`prune: a failed removal (${fault}) is reported and resolved by the next run`, async () => {
    const { platform, bundle, name } = await createOrphanedBundle();
    platform.planFault('remove', BUNDLES, fault);
    assert.deepEqual((await prune(platform)).failed, [bundle.operationId]);
    const again = await prune(platform);
    assert.equal(again.removed.length, fault === 'lost-after' ? 0 : 1);
    assert.equal(platform.objects.has(name), false);
  });
}

// Guards against an unconditional removal of an object that was written after the list.
test('prune: a bundle that is written after the list is retained until the next run', async () => {
  const { platform, bundle, name } = await createOrphanedBundle();
  platform.planAction('remove', BUNDLES, async () => platform.put(name, bundle));
  assert.deepEqual((await prune(platform)).failed, [bundle.operationId]);
  assert.ok(platform.objects.has(name));
});

// Guards against the removal of bundles that `config status` may still need, and against foreign
// objects that are treated as bundles.
test('prune: recent and malformed objects are retained', async () => {
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
