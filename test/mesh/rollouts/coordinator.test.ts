/**
 * Decisions of the coordinator on a played clock. Guards against good versions that are rolled
 * back, bad ones that are completed, and final states in the store that change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DURATION_MS, FAILING, GOOD, Stage, TARGET } from './stage.js';

function listStates(stage: Stage): string[] {
  return stage.written.map(({ State }) => State);
}

async function startRunning(): Promise<Stage> {
  const stage = new Stage();
  stage.putOrder();
  stage.startCoordinator();
  await stage.play(200, GOOD);
  return stage;
}

test('a good version is completed before the end of its duration, after a promotion', async () => {
  const stage = await startRunning();
  const states = new Map<string, number>();
  const [coordinator] = [stage.startCoordinator()];
  while (stage.nowMs < DURATION_MS) {
    await stage.play(100, GOOD);
    const { state } = stage.getDirective(coordinator)!;
    if (!states.has(state)) states.set(state, stage.nowMs);
  }
  assert.deepEqual([...states.keys()], ['running', 'promoting', 'completed']);
  assert.ok(states.get('promoting')! >= DURATION_MS - 900);
  assert.ok(states.get('completed')! - states.get('promoting')! >= 400);
  assert.deepEqual(listStates(stage), ['running', 'completed']);
});

test('no request goes to a version before `running` and its deadline are stored', async () => {
  const stage = new Stage();
  stage.putOrder();
  stage.fault = 'away';
  const coordinator = stage.startCoordinator();
  stage.fault = 'none';
  stage.list(coordinator);
  assert.equal(stage.getDirective(coordinator)?.share, 0);
  await stage.play(100, GOOD);
  assert.equal(stage.getDirective(coordinator)?.share, 0.06);
  assert.equal(typeof stage.getStatus()?.DeadlineUnixMs, 'number');
});

test('a version that fails at once is rolled back long before its 50th bad response', async () => {
  const stage = await startRunning();
  await stage.play(4000, FAILING);
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a version that fails only later is rolled back despite its good first runs', async () => {
  const stage = await startRunning();
  await stage.play(12_000, { perStep: 3 });
  await stage.play(2000, FAILING);
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a version that fails on one route only is rolled back', async () => {
  const stage = await startRunning();
  for (let round = 0; round < 60 && stage.getStatus()?.State === 'running'; round += 1) {
    await stage.play(300, GOOD);
    await stage.play(100, { perStep: 1, failEvery: 2, route: 'write' });
  }
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a version that is slow after its start is rolled back', async () => {
  const stage = await startRunning();
  await stage.play(8000, { perStep: 1, runMs: 160 });
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a version that fails only in peaks of the load is rolled back', async () => {
  const stage = await startRunning();
  for (let second = 0; second < 18 && stage.getStatus()?.State === 'running'; second += 1) {
    await stage.play(800, GOOD);
    await stage.play(200, { perStep: 3, failEvery: 2 });
  }
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a version that fails under the load of its promotion is not completed', async () => {
  const stage = await startRunning();
  await stage.play(DURATION_MS - 900 - stage.nowMs, GOOD);
  assert.equal(stage.steps.at(-1), 'promoting');
  await stage.play(300, { perStep: 20, failEvery: 2 });
  await stage.play(1000, { perStep: 20, failEvery: 2 });
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a good version that is slow for its first three seconds is completed', async () => {
  const stage = await startRunning();
  await stage.play(3000, { perStep: 1, runMs: 100 });
  await stage.play(DURATION_MS - stage.nowMs, GOOD);
  assert.deepEqual(listStates(stage), ['running', 'completed']);
});

test('the runs that end with one crash of an instance do not roll back its version', async () => {
  const stage = await startRunning();
  await stage.play(5000, GOOD);
  await stage.play(100, { perStep: 6, failEvery: 1 });
  // The node reports these runs before the instance is back.
  await stage.play(500, { perStep: 0 });
  stage.restartTarget('new-2');
  await stage.play(DURATION_MS - stage.nowMs, GOOD);
  assert.deepEqual(listStates(stage), ['running', 'completed']);
});

test('a version without enough runs is rolled back at the end', async () => {
  const stage = await startRunning();
  await stage.play(DURATION_MS - stage.nowMs, { perStep: 0 });
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a coordinator killed after `running` does not extend the deadline', async () => {
  const stage = new Stage();
  stage.putOrder();
  const first = stage.startCoordinator();
  await stage.play(12_000, GOOD);
  stage.kill(first);
  await stage.play(1000, GOOD, []);
  stage.startCoordinator();
  await stage.play(DURATION_MS - stage.nowMs, GOOD);
  assert.deepEqual(listStates(stage), ['running', 'completed']);
});

test('a stored deadline of a clock that is ahead does not extend the duration', async () => {
  const stage = new Stage();
  stage.putOrder();
  const first = stage.startCoordinator(60_000);
  await stage.play(400, GOOD);
  stage.kill(first);
  stage.startCoordinator();
  await stage.play(DURATION_MS, GOOD);
  assert.deepEqual(listStates(stage), ['running', 'completed']);
});

test('a coordinator killed before it wrote `rolled_back` leaves that to the next one', async () => {
  const stage = new Stage();
  stage.putOrder();
  const first = stage.startCoordinator();
  await stage.play(2000, GOOD);
  stage.beforeWrite = () => stage.kill(first);
  await stage.play(6000, FAILING);
  assert.deepEqual(listStates(stage), ['running']);
  assert.equal(stage.steps.at(-1), 'rolled_back');
  stage.beforeWrite = undefined;
  stage.startCoordinator();
  await stage.play(1000, { perStep: 0 });
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a new coordinator does not decide on a lack of runs before the nodes report', async () => {
  const stage = new Stage();
  stage.putOrder();
  const first = stage.startCoordinator();
  await stage.play(DURATION_MS - 700, GOOD, []);
  stage.kill(first);
  stage.startCoordinator();
  await stage.play(2000, GOOD);
  assert.ok(!listStates(stage).includes('rolled_back'));
  assert.equal(listStates(stage).at(-1), 'completed');
});

test('a conflict on the status is read again and ends with one final state', async () => {
  const stage = await startRunning();
  let isTouched = false;
  stage.beforeWrite = () => {
    if (isTouched) return;
    isTouched = true;
    stage.changeUnseen();
  };
  await stage.play(5000, FAILING);
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('two coordinators with different evidence never store different final states', async () => {
  const stage = new Stage();
  stage.putOrder();
  const [seesRuns, seesNone] = [stage.startCoordinator(), stage.startCoordinator()];
  await stage.play(DURATION_MS + 2000, GOOD, [seesRuns]);
  // Both write `running`; the second write fails on the revision.
  assert.deepEqual(listStates(stage), ['running', 'completed']);
  for (const coordinator of [seesRuns, seesNone]) {
    assert.equal(stage.getDirective(coordinator)?.state, 'completed');
  }
});

test('a coordinator without reports, with a clock ahead, rolls back no good version', async () => {
  const stage = new Stage();
  stage.putOrder();
  const seesRuns = stage.startCoordinator();
  await stage.play(1000, GOOD, [seesRuns]);
  stage.startCoordinator(600);
  await stage.play(DURATION_MS + 2000, GOOD, [seesRuns]);
  assert.deepEqual(listStates(stage), ['running', 'completed']);
});

test('a version of which no instance reports is rolled back shortly after the end', async () => {
  const stage = new Stage();
  stage.putOrder();
  stage.startCoordinator();
  await stage.play(DURATION_MS + 1500, { perStep: 0 }, []);
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a final state of another coordinator replaces an own decision', async () => {
  const stage = await startRunning();
  const coordinator = stage.startCoordinator();
  stage.beforeWrite = () => {
    stage.beforeWrite = undefined;
    stage.restoreStatus({ ...stage.getStatus()!, State: 'completed' });
  };
  await stage.play(5000, FAILING);
  assert.equal(stage.getStatus()?.State, 'completed');
  assert.equal(stage.getDirective(coordinator)?.state, 'completed');
});

test('a lost answer to the write of a final state is no second decision', async () => {
  const stage = await startRunning();
  stage.fault = 'lose-answers';
  await stage.play(6000, FAILING);
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('a store that lost a final state gets the same one again', async () => {
  const stage = await startRunning();
  const running = stage.getStatus();
  await stage.play(5000, FAILING);
  stage.restoreStatus(running);
  await stage.play(1000, GOOD);
  assert.deepEqual(listStates(stage), ['running', 'rolled_back', 'rolled_back']);
});

test('a version gets no requests while the store is away, and is decided afterwards', async () => {
  const stage = new Stage();
  stage.putOrder();
  const coordinator = stage.startCoordinator();
  await stage.play(10_000, GOOD);
  stage.fault = 'away';
  await stage.play(3500, GOOD);
  assert.deepEqual(stage.getDirective(coordinator), {
    service: 'pads',
    targetVersion: TARGET,
    state: 'running',
    share: 0,
  });
  await stage.play(DURATION_MS, { perStep: 0 });
  assert.deepEqual(listStates(stage), ['running']);
  stage.fault = 'none';
  await stage.play(2000, { perStep: 0 });
  assert.deepEqual(listStates(stage), ['running', 'completed']);
});

test('a bad version gets no requests although its `rolled_back` cannot be stored', async () => {
  const stage = new Stage();
  stage.putOrder();
  const coordinator = stage.startCoordinator();
  await stage.play(3000, GOOD);
  stage.fault = 'away';
  await stage.play(5000, FAILING);
  assert.equal(stage.getDirective(coordinator)?.state, 'rolled_back');
  stage.fault = 'none';
  await stage.play(500, { perStep: 0 });
  assert.deepEqual(listStates(stage), ['running', 'rolled_back']);
});

test('an order with another target version starts anew after a final state', async () => {
  const stage = await startRunning();
  await stage.play(5000, FAILING);
  stage.putOrder('v3');
  await stage.play(100, GOOD);
  assert.deepEqual(listStates(stage), ['running', 'rolled_back', 'running']);
  assert.equal(stage.getStatus()?.TargetVersion, 'v3');
});

test('a removed order ends and is not written again', async () => {
  const stage = await startRunning();
  const coordinator = stage.startCoordinator();
  stage.removeOrder();
  await stage.play(DURATION_MS, FAILING);
  assert.deepEqual(listStates(stage), ['running']);
  assert.equal(stage.getDirective(coordinator), undefined);
});

test('an invalid order is logged once for each change and ignored', async () => {
  const stage = new Stage();
  const coordinator = stage.startCoordinator();
  for (const spec of [{ Duration: 20 }, { TargetVersion: undefined }, { Service: ['pads'] }]) {
    stage.putOrder(TARGET, spec);
    stage.list(coordinator);
    stage.list(coordinator);
  }
  await stage.play(1000, GOOD);
  assert.deepEqual(stage.warnings, Array<string>(3).fill('rollout-invalid'));
  assert.deepEqual(stage.written, []);
});
