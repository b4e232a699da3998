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

/** Accepts two versions, plans faults, then tries to accept a third one. */
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

/** Lets others accept versions before the response to a lost write is resolved. */
function acceptOthersAfterLoss(
  platform: MemoryPlatform,
  fault: 'lost-before' | 'lost-after',
  n: number,
) {
  platform.planFault('write', HEAD_NAME, fault);
  platform.planAction('read', HEAD_NAME, () => acceptMany(platform, n));
}

type Plan = (platform: MemoryPlatform) => void;

/** What happens, and what is then known and true. */
const CASES: readonly [string, Plan, string][] = [
  ['no fault', () => {}, 'accepted, head 3 names it'],
  [
    'the bundle write is lost after it took effect',
    (fake) => fake.planFault('write', BUNDLES, 'lost-after'),
    'accepted, head 3 names it',
  ],
  [
    'the bundle write is lost before it took effect',
    (fake) => fake.planFault('write', BUNDLES, 'lost-before'),
    'accepted, head 3 names it',
  ],
  [
    'the platform is down for the bundle: nothing was accepted',
    (fake) => fake.planFault('write', BUNDLES, 'unavailable', 3),
    'error unavailable, head 2',
  ],
  [
    'the head write is lost after it took effect',
    (fake) => fake.planFault('write', HEAD_NAME, 'lost-after'),
    'accepted, head 3 names it',
  ],
  [
    'the head write is lost before it took effect and is repeated',
    (fake) => fake.planFault('write', HEAD_NAME, 'lost-before'),
    'accepted, head 3 names it',
  ],
  [
    'the head write is lost after it took effect, then 3 other versions came',
    (fake) => acceptOthersAfterLoss(fake, 'lost-after', 3),
    'accepted, head 6 names it',
  ],
  [
    'the head write is lost after it took effect, then more versions than the head keeps',
    (fake) => acceptOthersAfterLoss(fake, 'lost-after', 200),
    'accepted, head 203',
  ],
  [
    'the head write is lost before it took effect, then another version came',
    (fake) => acceptOthersAfterLoss(fake, 'lost-before', 1),
    'superseded, head 3',
  ],
  [
    'the head write is lost before it took effect, then more versions than the head keeps',
    (fake) => acceptOthersAfterLoss(fake, 'lost-before', 200),
    'superseded, head 202',
  ],
  [
    'another editor is first',
    (fake) => fake.planAction('write', HEAD_NAME, () => acceptMany(fake, 1)),
    'superseded, head 3',
  ],
  [
    'the platform is down for the head: nothing was accepted',
    (fake) => fake.planFault('write', HEAD_NAME, 'unavailable', 3),
    'error unavailable, head 2',
  ],
  [
    'the head write is lost and the platform stays down: not known',
    (fake) => {
      fake.planFault('write', HEAD_NAME, 'lost-after');
      fake.planFault('write', HEAD_NAME, 'unavailable', 2);
      fake.planFault('read', HEAD_NAME, 'unavailable', 3);
    },
    'unknown, head 3 names it',
  ],
  [
    'the head write is lost and then refused: still not known',
    (fake) => {
      fake.planFault('write', HEAD_NAME, 'held');
      fake.planFault('write', HEAD_NAME, 'refused');
    },
    'unknown, head 2',
  ],
  [
    'the head write is refused for good',
    (fake) => fake.planFault('write', HEAD_NAME, 'refused'),
    'error refused, head 2',
  ],
];

// Guards against a lost response that is taken for a refusal or for an acceptance.
for (const [name, plan, expected] of CASES) {
  test(`accept: ${name}`, async () => {
    const { kind, version, isNamed } = await tryAccept(plan);
    assert.equal(`${kind}, head ${version}${isNamed ? ' names it' : ''}`, expected);
  });
}

// Guards against a late write that takes effect beside the repeated one, or against later ones.
test('a write that arrives late has no effect once the operation is decided', async () => {
  const { kind, platform } = await tryAccept((fake) => fake.planFault('write', HEAD_NAME, 'held'));
  assert.equal(kind, 'accepted');
  await acceptMany(platform, 1);
  platform.deliver();
  assert.equal((await readHead(platform))._unsafeUnwrap()?.value.version, 4);
});

// Guards against a status that calls an open operation decided, or loses a decided one.
test('status follows an unknown operation until it is decided', async () => {
  const { kind, platform, bundle } = await tryAccept((fake) =>
    fake.planFault('write', HEAD_NAME, 'held', 3),
  );
  assert.equal(kind, 'unknown');
  const readKind = async (id: string) => (await readOperation(platform, id))._unsafeUnwrap().kind;
  assert.equal(await readKind(bundle.operationId), 'open');
  platform.deliver();
  assert.equal(await readKind(bundle.operationId), 'accepted');
  await acceptMany(platform, 140);
  assert.equal(await readKind(bundle.operationId), 'accepted');
  assert.equal(await readKind('never-seen'), 'untraceable');
});

// Guards against a status that calls an operation open though its version is taken.
test('status tells that an operation lost its race', async () => {
  const { platform, bundle } = await tryAccept((fake) =>
    acceptOthersAfterLoss(fake, 'lost-before', 1),
  );
  const state = (await readOperation(platform, bundle.operationId))._unsafeUnwrap();
  assert.equal(state.kind, 'superseded');
});

// Guards against two editors that both make the first version.
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
