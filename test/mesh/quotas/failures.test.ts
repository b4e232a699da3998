/** What each failure on the page of quotas costs: the bound holds, and calm accounts are served. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createRandom } from '../../../standins/random.js';
import { buildAccount, computeBound, createArrivals, QuotaMesh } from './quotaMesh.js';

const NODES = [0, 1, 2, 3, 4, 5];
const CALM = buildAccount('calm', 40, 40);
const HOT = buildAccount('hot', 40, 40);

/** Runs a function with a mesh of six nodes; the hot account asks for four times its rate. */
async function withMesh(
  context: TestContext,
  run: (mesh: QuotaMesh, onTick: (tickMs: number) => void) => Promise<void>,
): Promise<void> {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'] });
  const mesh = new QuotaMesh(context.mock.timers, NODES.length, [CALM, HOT]);
  const random = createRandom(7);
  const calm = createArrivals(mesh, CALM, 28, NODES, random);
  const hot = createArrivals(mesh, HOT, 160, NODES, random);
  try {
    await run(mesh, (tickMs) => {
      calm(tickMs);
      hot(tickMs);
    });
  } finally {
    mesh.close();
  }
}

function checkBound(mesh: QuotaMesh): void {
  const most = mesh.countMaxRuns('hot');
  assert.ok(most <= computeBound(HOT), `${most} of ${computeBound(HOT)}`);
}

test('a steady coordinator serves a calm account, and a hot one its rate', async (context) => {
  await withMesh(context, async (mesh, onTick) => {
    await mesh.run(3000, onTick);
    const fromMs = mesh.now();
    await mesh.run(10_000, onTick);
    checkBound(mesh);
    const isCounted = ({ atMs }: { atMs: number }) => atMs >= fromMs;
    assert.ok(mesh.measureGranted('calm', isCounted) >= 0.95);
    const hotPart = mesh.measureGranted('hot', isCounted);
    assert.ok(hotPart > 0.9 / 4, `the hot account got ${hotPart}`);
    assert.ok(mesh.changes.every(({ peer }) => peer === 'n-0'));
  });
});

test('a killed coordinator is replaced, and its tokens are not granted again', async (context) => {
  await withMesh(context, async (mesh, onTick) => {
    await mesh.run(8000, onTick);
    mesh.kill(0);
    await mesh.run(2000, onTick);
    const fromMs = mesh.now();
    await mesh.run(6000, onTick);
    checkBound(mesh);
    const calm = mesh.measureGranted('calm', ({ atMs }) => atMs >= fromMs);
    assert.ok(calm >= 0.95, `${calm}`);
    const last = NODES.slice(1).map((node) =>
      mesh.changes.filter((change) => change.node === node).at(-1),
    );
    assert.ok(last.every((change) => change?.peer === 'n-1'));
  });
});

test('an isolated coordinator does not add its rate to that of its successor', async (context) => {
  await withMesh(context, async (mesh, onTick) => {
    await mesh.run(8000, onTick);
    mesh.cut(0, 1);
    await mesh.run(7000, onTick);
    checkBound(mesh);
    const others = mesh.measureGranted(
      'calm',
      ({ atMs, node }) => atMs >= mesh.now() - 4500 && node > 0,
    );
    assert.ok(others >= 0.95, `${others}`);
    mesh.cut(0, 0);
    await mesh.run(7000, onTick);
    checkBound(mesh);
    assert.equal(mesh.changes.at(-1)?.peer, 'n-0', 'the nodes return');
  });
});

test('two coordinators share the rate by the nodes that reach them', async (context) => {
  await withMesh(context, async (mesh, onTick) => {
    await mesh.run(8000, onTick);
    for (const node of [0, 2, 4]) mesh.cut(node, 1);
    await mesh.run(3000, onTick);
    const fromMs = mesh.now();
    await mesh.run(7000, onTick);
    checkBound(mesh);
    const calm = mesh.measureGranted('calm', ({ atMs }) => atMs >= fromMs);
    assert.ok(calm >= 0.95, `${calm}`);
  });
});

test('restarted nodes begin with empty buckets and serve within two seconds', async (context) => {
  await withMesh(context, async (mesh, onTick) => {
    await mesh.run(8000, onTick);
    for (const node of NODES) mesh.kill(node);
    for (const node of NODES) mesh.start(node);
    await mesh.run(1500, onTick);
    const fromMs = mesh.now();
    await mesh.run(6000, onTick);
    checkBound(mesh);
    const calm = mesh.measureGranted('calm', ({ atMs }) => atMs >= fromMs);
    assert.ok(calm >= 0.95, `${calm}`);
  });
});

test('a lower limit holds once it is in force, a raised one serves at once', async (context) => {
  await withMesh(context, async (mesh, onTick) => {
    const lower = buildAccount('hot', 8, 8);
    await mesh.run(6000, onTick);
    mesh.applyAccounts([CALM, lower]);
    const loweredMs = mesh.now();
    await mesh.run(8000, onTick);
    // A lease of the earlier limit lasts a second.
    const most = mesh.countMaxRuns('hot', loweredMs + 6000);
    assert.ok(most <= computeBound(lower), `${most} of ${computeBound(lower)}`);
    mesh.applyAccounts([CALM, HOT]);
    const raisedMs = mesh.now();
    await mesh.run(1000, onTick);
    const granted = mesh.asks.filter(
      (ask) =>
        ask.account.name === 'hot' && ask.atMs >= raisedMs && ask.decision?.kind === 'granted',
    );
    assert.ok(granted.length >= 30, `${granted.length} in the first second`);
    checkBound(mesh);
  });
});
