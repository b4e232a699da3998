import assert from 'node:assert/strict';
import { test } from 'node:test';
import { acceptBundle, type AcceptOptions } from '../../src/core/config/acceptBundle.js';
import { buildBundle, NO_PARENT } from '../../src/core/config/buildBundle.js';
import { HEAD_NAME, readHead } from '../../src/core/config/readHead.js';
import { readOperation } from '../../src/core/config/readOperation.js';
import { createMemoryPlatform, type MemoryPlatform } from '../../standins/memory/memoryPlatform.js';
import { acceptNext, buildContent } from './samples.js';

const OPTIONS: AcceptOptions = { maxAttempts: 3, wait: async () => {} };
const BUNDLES = 'bundles/';

/** Accepts two versions, plans faults, then attempts to accept a third version. */
async function tryAccept(plan: (platform: MemoryPlatform) => void) {
  const platform = createMemoryPlatform();
  await acceptNext(platform, buildContent(1));
  await acceptNext(platform, buildContent(2));
  const head = (await readHead(platform))._unsafeUnwrap();
  const bundle = buildBundle(buildContent(3), head?.value ?? NO_PARENT);
  plan(platform);
  const result = await acceptBundle(platform, bundle, head, OPTIONS);
  const kind = result.isOk() ? result.value.kind : `error ${result.error.kind}`;
  const after = (await readHead(platform))._unsafeUnwrap()?.value;
  const isNamed = after?.recent.some(({ operationId }) => operationId === bundle.operationId);
  return { kind, platform, bundle, version: after?.version, isNamed };
}

async function acceptMany(platform: MemoryPlatform, count: number) {
  for (let index = 0; index < count; index += 1) {
    await acceptNext(platform, buildContent(100 + index));
  }
}

/** Accepts `n` other versions after a write without a response and before it is resolved. */
function acceptOthersAfterLoss(
  platform: MemoryPlatform,
  fault: 'lost-before' | 'lost-after',
  n: number,
) {
  platform.planFault('write', HEAD_NAME, fault);
  platform.planAction('read', HEAD_NAME, () => acceptMany(platform, n));
}

type Plan = (platform: MemoryPlatform) => void;

/** Name, planned faults, and the expected outcome and state of the head. */
const CASES: readonly [string, Plan, string][] = [
  ['no fault', () => {}, 'accepted, head 3 names it'],
  [
    'the bundle write takes effect, but its response is lost',
    (fake) => fake.planFault('write', BUNDLES, 'lost-after'),
    'accepted, head 3 names it',
  ],
  [
    'the bundle write is lost before it takes effect',
    (fake) => fake.planFault('write', BUNDLES, 'lost-before'),
    'accepted, head 3 names it',
  ],
  [
    'the platform is unavailable for the bundle write: nothing is accepted',
    (fake) => fake.planFault('write', BUNDLES, 'unavailable', 3),
    'error unavailable, head 2',
  ],
  [
    'the head write takes effect, but its response is lost',
    (fake) => fake.planFault('write', HEAD_NAME, 'lost-after'),
    'accepted, head 3 names it',
  ],
  [
    'the head write is lost before it takes effect and is retried',
    (fake) => fake.planFault('write', HEAD_NAME, 'lost-before'),
    'accepted, head 3 names it',
  ],
  [
    'the response to the head write is lost, then 3 other versions are accepted',
    (fake) => acceptOthersAfterLoss(fake, 'lost-after', 3),
    'accepted, head 6 names it',
  ],
  [
    'the response to the head write is lost, then more versions are accepted than the head lists',
    (fake) => acceptOthersAfterLoss(fake, 'lost-after', 200),
    'accepted, head 203',
  ],
  [
    'the head write is lost before it takes effect, then another version is accepted',
    (fake) => acceptOthersAfterLoss(fake, 'lost-before', 1),
    'superseded, head 3',
  ],
  [
    'the head write is lost, then more versions are accepted than the head lists',
    (fake) => acceptOthersAfterLoss(fake, 'lost-before', 200),
    'superseded, head 202',
  ],
  [
    'a concurrent editor is accepted first',
    (fake) => fake.planAction('write', HEAD_NAME, () => acceptMany(fake, 1)),
    'superseded, head 3',
  ],
  [
    'the platform is unavailable for the head write: nothing is accepted',
    (fake) => fake.planFault('write', HEAD_NAME, 'unavailable', 3),
    'error unavailable, head 2',
  ],
  [
    'the response to the head write is lost and the platform is unavailable: unknown',
    (fake) => {
      fake.planFault('write', HEAD_NAME, 'lost-after');
      fake.planFault('write', HEAD_NAME, 'unavailable', 2);
      fake.planFault('read', HEAD_NAME, 'unavailable', 3);
    },
    'unknown, head 3 names it',
  ],
  [
    'the head write is delayed and its retry is refused: unknown',
    (fake) => {
      fake.planFault('write', HEAD_NAME, 'held');
      fake.planFault('write', HEAD_NAME, 'refused');
    },
    'unknown, head 2',
  ],
  [
    'the head write is refused',
    (fake) => fake.planFault('write', HEAD_NAME, 'refused'),
    'error refused, head 2',
  ],
];

// Guards against a lost response that is treated as a refusal or as an acceptance.
for (const [name, plan, expected] of CASES) {
  test(`accept: ${name}`, async () => {
    const { kind, version, isNamed } = await tryAccept(plan);
    assert.equal(`${kind}, head ${version}${isNamed ? ' names it' : ''}`, expected);
  });
}

// Guards against a delayed write that takes effect in addition to its retry or to later versions.
test('a delayed write has no effect once the operation is resolved', async () => {
  const { kind, platform } = await tryAccept((fake) => fake.planFault('write', HEAD_NAME, 'held'));
  assert.equal(kind, 'accepted');
  await acceptMany(platform, 1);
  platform.applyDelayedWrites();
  assert.equal((await readHead(platform))._unsafeUnwrap()?.value.version, 4);
});

// Guards against a status that reports an open operation as resolved, or a resolved one as open.
test('status reports an unknown operation as open until it is resolved', async () => {
  const { kind, platform, bundle } = await tryAccept((fake) =>
    fake.planFault('write', HEAD_NAME, 'held', 3),
  );
  assert.equal(kind, 'unknown');
  const readKind = async (id: string) => (await readOperation(platform, id))._unsafeUnwrap().kind;
  assert.equal(await readKind(bundle.operationId), 'open');
  platform.applyDelayedWrites();
  assert.equal(await readKind(bundle.operationId), 'accepted');
  await acceptMany(platform, 140);
  assert.equal(await readKind(bundle.operationId), 'accepted');
  assert.equal(await readKind('never-seen'), 'untraceable');
});

// Guards against a status that reports a superseded operation as open.
test('status reports that an operation was superseded', async () => {
  const { platform, bundle } = await tryAccept((fake) =>
    acceptOthersAfterLoss(fake, 'lost-before', 1),
  );
  const state = (await readOperation(platform, bundle.operationId))._unsafeUnwrap();
  assert.equal(state.kind, 'superseded');
});

// Guards against two editors that both create the first version.
test('the first version is created once', async () => {
  const platform = createMemoryPlatform();
  const bundles = [1, 2].map((slots) => buildBundle(buildContent(slots), NO_PARENT));
  const kinds = await Promise.all(
    bundles.map(
      async (bundle) =>
        (await acceptBundle(platform, bundle, undefined, OPTIONS))._unsafeUnwrap().kind,
    ),
  );
  assert.deepEqual(kinds.sort(), ['accepted', 'superseded']);
});
