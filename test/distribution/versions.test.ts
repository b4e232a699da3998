import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ok } from 'neverthrow';
import type { ConfigFetchAnswer } from '../../src/generated/types.js';
import { diffBundles } from '../../src/core/distribution/delta.js';
import { advance, startClock, stopClock } from '../../standins/memory/clock.js';
import {
  acceptBundle,
  buildBundle,
  buildRecord,
  createTestMesh,
  startTestNode,
  toSender,
} from '../../standins/memory/nodes.js';

const SENDER = { ...buildRecord(101, 'dc-a', 2000), state: 'serving' as const };
const FROM = toSender(SENDER);
const ADDRESS = { host: '127.0.0.1', port: 100 };

const RUNS = 60;

type Step =
  | { kind: 'notify'; version: number; variant: string }
  | { kind: 'accept' }
  | { kind: 'platform'; isDown: boolean }
  | { kind: 'wait'; ms: number }
  | { kind: 'restart' };

const anyVersion = fc.integer({ min: 1, max: 6 });
const anyVariant = fc.constantFrom('x', 'x', 'y', 'bad');
const buildConstant = <Kind extends string>(kind: Kind) => fc.constant(kind);
const anyNotify = fc.record({
  kind: buildConstant('notify'),
  version: anyVersion,
  variant: anyVariant,
});
const anyWait = fc.record({ kind: buildConstant('wait'), ms: fc.constantFrom(100, 700, 3000) });
const anyOutage = fc.record({ kind: buildConstant('platform'), isDown: fc.boolean() });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: anyNotify },
  { weight: 3, arbitrary: anyWait },
  { weight: 2, arbitrary: fc.record({ kind: buildConstant('accept') }) },
  anyOutage,
  fc.record({ kind: buildConstant('restart') }),
);
/** Answers of the sender to fetches, used in turn; they may be old, forged or a delta. */
const anyAnswer: fc.Arbitrary<ConfigFetchAnswer> = fc
  .tuple(anyVersion, anyVariant, anyVersion, fc.constantFrom('whole', 'patch', 'forged', 'same'))
  .map(([version, variant, baseVersion, kind]) => {
    const bundle = buildBundle(version, variant);
    if (kind === 'same') return { kind: 'same' };
    if (kind === 'patch') return diffBundles(buildBundle(baseVersion), bundle);
    const namedVersion = kind === 'forged' ? 9 - version : version;
    return { kind: 'whole', bundle: { ...bundle, version: namedVersion } };
  });

/** Runs the steps on one node and returns the installed versions of each process, in order. */
async function runSteps(steps: readonly Step[], answers: readonly ConfigFetchAnswer[]) {
  const mesh = createTestMesh();
  const { peers, dispatcher } = mesh.network.addNode(SENDER.peerPort);
  let fetchCount = 0;
  const ack = { from: FROM, version: 0, digest: '', tableHash: '', changes: [] };
  dispatcher.addMethods({
    ping: () => ok(ack),
    'config.fetch': () => {
      fetchCount += 1;
      return ok(answers[fetchCount % answers.length] ?? { kind: 'same' });
    },
  });
  const processes: number[][] = [];
  let highestServed = 0;
  const start = () => {
    const versions: number[] = [];
    processes.push(versions);
    const node = startTestNode(mesh, ADDRESS.port, 'dc-a', [], 1000 * processes.length);
    node.store.onInstall((tag) => versions.push(tag.version));
    return node;
  };
  let node = start();
  let accepted = 0;
  const run: { [Kind in Step['kind']]: (step: Step & { kind: Kind }) => unknown } = {
    notify: ({ version, variant }) => {
      const { digest } = buildBundle(version, variant);
      const changes = [{ record: SENDER, verdict: 'alive' as const }];
      peers.notify(ADDRESS, 'members.push', { from: FROM, changes });
      peers.notify(ADDRESS, 'config.notify', { from: FROM, version, digest });
    },
    accept: () => {
      accepted += 1;
      acceptBundle(mesh.platform, buildBundle(accepted));
    },
    platform: ({ isDown }) => mesh.platform.setDown(isDown),
    wait: ({ ms }) => advance(ms),
    restart: async () => {
      const [tag, floor] = [node.store.getTag(), node.store.getFloor()];
      await node.stop();
      node = start();
      // The upstream returns the cookie: the higher of the installed version and the floor.
      node.store.raiseFloor(tag.version > floor.version ? tag : floor, 'cookie');
    },
  };
  for (const step of steps) {
    await run[step.kind](step as never);
    const version = Number(node.store.getTag().version);
    if (!node.store.isReady()) continue;
    assert.ok(version >= highestServed, `serves ${version} after ${highestServed}`);
    highestServed = version;
  }
  await advance(500);
  await node.stop();
  return processes;
}

// Guards against orders of messages, answers and restarts that install an older version (G1).
test('the installed version never decreases', async () => {
  startClock();
  try {
    let installs = 0;
    const check = async (steps: Step[], answers: ConfigFetchAnswer[]) => {
      for (const versions of await runSteps(steps, answers)) {
        installs += versions.length;
        const ascending = [...new Set(versions)].sort((a, b) => a - b);
        assert.deepEqual(versions, ascending);
      }
    };
    const steps = fc.array(anyStep, { minLength: 8, maxLength: 20 });
    const answers = fc.array(anyAnswer, { minLength: 1, maxLength: 6 });
    await fc.assert(fc.asyncProperty(steps, answers, check), { seed: 20_240_612, numRuns: RUNS });
    assert.ok(installs > RUNS, `only ${installs} installs in all runs`);
  } finally {
    stopClock();
  }
});
