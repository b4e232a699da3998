import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  computeWarmUpWeight,
  listCandidates,
  type CandidateSources,
} from '../../src/core/calls/candidates.js';
import { chooseCandidate } from '../../src/core/calls/choose.js';
import { createNodeStatsTable } from '../../src/core/calls/nodeStats.js';
import { listEjected, OutlierState, type AttemptMode } from '../../src/core/calls/outlier.js';
import type { MemberView } from '../../src/types/interfaces.js';
import type { LoadReport } from '../../src/types/calls.js';
import { buildInstance, buildRoute, buildView, createMembers, LOAD } from './fakes.js';

const SEED = { seed: 20_261_204, numRuns: 300 };
const FULL: LoadReport = { busy: 10, slots: 10, queued: 1 };
const REGULAR: AttemptMode = { kind: 'regular' };
const OUTLIER = { consecutiveFailures: 1, ejectMs: 1000, maxEjectedPercent: 50 };

function createSources(views: readonly MemberView[], isLeaving = false): CandidateSources {
  const self = views[0] ?? buildView({ nodeId: 'n0', instances: [] });
  return {
    members: createMembers(self, views.slice(1)),
    stats: createNodeStatsTable(),
    getLocalLoad: () => LOAD,
    isLeaving: () => isLeaving,
  };
}

const memberArbitrary = fc.record({
  verdict: fc.constantFrom<MemberView['verdict']>('alive', 'suspect', 'dead'),
  state: fc.constantFrom<MemberView['record']['state']>('joining', 'serving', 'leaving', 'left'),
  instance: fc.record({
    service: fc.constantFrom('padbook', 'other'),
    state: fc.constantFrom<'cold' | 'ready' | 'draining'>('cold', 'ready', 'draining'),
  }),
  dataCentre: fc.constantFrom('a', 'b', 'c'),
  region: fc.constantFrom('r', 's'),
  failures: fc.integer({ min: 0, max: 2 }),
  isTried: fc.boolean(),
  isFull: fc.boolean(),
});

// Guards against calls to nodes that are leaving, dead, draining, ejected or already tried, and
// against the ejection of more nodes than the configured share.
test('an excluded node is never chosen and ejections stay within the limit', () => {
  const property = fc.property(
    fc.array(memberArbitrary, { maxLength: 12 }),
    fc.record({ percent: fc.integer({ min: 0, max: 100 }), spillOver: fc.boolean() }),
    fc.boolean(),
    fc.double({ min: 0, max: 0.999, noNaN: true }),
    (members, { percent, spillOver }, isLeaving, random) => {
      const views = members.map(({ verdict, state, dataCentre, region, instance }, index) => {
        const instances = [buildInstance(instance)];
        const change = { nodeId: `n${index}`, state, dataCentre, region, instances };
        return { ...buildView(change), verdict };
      });
      const sources = createSources(views, isLeaving);
      for (const [index, { isFull, failures }] of members.entries()) {
        const stats = sources.stats.get('padbook', `n${index}`, `1-n${index}`);
        if (isFull) stats.recordLoad(FULL, 0);
        for (let at = 0; at < failures; at += 1) {
          stats.outlier.recordFailure(OUTLIER, REGULAR, 0);
        }
      }
      const usable = new Set<string>();
      const tried = new Set<string>();
      for (const [index, { verdict, state, instance, isTried }] of members.entries()) {
        const isServing = state === 'serving' && verdict !== 'dead' && !(isLeaving && index === 0);
        const hasInstance = instance.service === 'padbook' && instance.state !== 'draining';
        if (isServing && hasInstance) usable.add(`n${index}`);
        if (isTried) tried.add(`n${index}`);
      }
      const excluded: string[] = [];
      const route = buildRoute({ spillOver }, percent);
      const candidates = listCandidates(route, sources, tried, 1, (_view, reason) =>
        excluded.push(reason),
      );
      const choice = chooseCandidate(candidates, () => random);
      assert.equal(choice === undefined, candidates.length === 0);
      const ofService = members.filter(({ instance }) => instance.service === 'padbook').length;
      assert.equal(candidates.length + excluded.length, ofService);
      const ejected = excluded.filter((reason) => reason === 'ejected').length;
      assert.ok(ejected * 100 <= usable.size * percent);
      if (!choice) return;
      const { record } = choice.candidate.view;
      const isLocal = record.dataCentre === views[0]?.record.dataCentre;
      assert.ok(usable.has(record.nodeId) && !tried.has(record.nodeId));
      assert.ok(spillOver || isLocal);
      assert.equal(choice.spillOver !== undefined, !isLocal);
    },
  );
  fc.assert(property, SEED);
});

// Guards against a limit on ejections that exempts the nodes with the longest ejections.
test('beyond the limit the nodes whose ejection ends first stay in use', () => {
  const states = [3, 1, 2, 0].map((ejectMs) => {
    const state = new OutlierState();
    if (ejectMs > 0) state.recordFailure({ ...OUTLIER, ejectMs }, REGULAR, 0);
    return state;
  });
  const ends = (percent: number) =>
    [...listEjected(states, percent, 0.5)].map((state) => state.ejectedUntilMs);
  assert.deepEqual([0, 49, 50, 100].map(ends), [[], [3], [3, 2], [3, 1, 2]]);
});

// Guards against ejection times that do not grow, against an outlier that gets no trial, and
// against calls that started before the ejection and extend it.
test('ejections double up to 10 s, end with one trial, and reset after lasting success', () => {
  const state = new OutlierState();
  const times: number[] = [];
  for (let round = 0; round < 7; round += 1) {
    const now = state.ejectedUntilMs;
    state.recordFailure(OUTLIER, state.recordStart(OUTLIER, now), now);
    times.push(state.ejectedUntilMs - now);
    state.recordFailure(OUTLIER, REGULAR, now);
    state.recordFailure(OUTLIER, state.recordStart(OUTLIER, now), now);
    assert.equal(state.ejectedUntilMs - now, times.at(-1));
  }
  assert.equal(times.join(), '1000,2000,4000,8000,10000,10000,10000');
  const endMs = state.ejectedUntilMs;
  const trial = state.recordStart(OUTLIER, endMs);
  assert.equal(trial.kind, 'trial');
  assert.equal(state.recordStart(OUTLIER, endMs).kind, 'regular', 'one trial at a time');
  assert.equal(state.ejectedUntilMs, endMs + 10_000, 'ejected while the trial runs');
  state.recordSuccess(trial, endMs + 5);
  assert.equal(state.ejectedUntilMs, endMs + 5);
  state.recordFailure(OUTLIER, trial, endMs + 6);
  assert.equal(state.ejectedUntilMs, endMs + 5, 'the result of a trial is recorded once');
  const later = endMs + 10_005;
  state.recordSuccess(REGULAR, later);
  state.recordFailure(OUTLIER, REGULAR, later);
  assert.equal(state.ejectedUntilMs - later, 1000);
  const longer = new OutlierState();
  longer.recordFailure({ ...OUTLIER, ejectMs: 60_000 }, REGULAR, 0);
  assert.equal(longer.ejectedUntilMs, 60_000, 'a longer ejectMs takes precedence');
});

// Guards against a node that stays ejected because its trial was refused before it ran.
test('a refused trial is repeated immediately', () => {
  const state = new OutlierState();
  state.recordFailure(OUTLIER, REGULAR, 0);
  state.recordRefusal(REGULAR, 10);
  assert.equal(state.ejectedUntilMs, 1000);
  state.recordRefusal(state.recordStart(OUTLIER, 1000), 1001);
  assert.equal(state.recordStart(OUTLIER, 1001).kind, 'trial');
});

// Guards against a trial that is prevented by calls hung since before the ejection, and against
// calls to a node that has just refused its trial because it is overloaded.
test('a trial is made despite hung calls, but not while the node is known to be full', () => {
  const views = ['n1', 'n2'].map((nodeId) => buildView({ nodeId }));
  const sources = createSources([buildView({ nodeId: 'self', instances: [] }), ...views]);
  const [tried, other] = ['n1', 'n2'].map((id) => sources.stats.get('padbook', id, `1-${id}`));
  assert.ok(tried && other);
  tried.outlier.recordFailure(OUTLIER, REGULAR, 0);
  tried.outstanding = 10;
  other.outstanding = 1;
  const choose = (nowMs: number) => {
    const candidates = listCandidates(buildRoute(), sources, undefined, nowMs);
    return chooseCandidate(candidates, () => 0)?.candidate.view.record.nodeId;
  };
  assert.deepEqual([choose(999), choose(1000)], ['n2', 'n1']);
  tried.outlier.recordRefusal(tried.outlier.recordStart(OUTLIER, 1000), 1001);
  tried.recordFull(1001);
  assert.deepEqual([choose(1002), choose(1300)], ['n2', 'n1']);
});

// Guards against needless spill-overs, and against spill-overs with a wrong reason.
test('other data centres are used only when none is usable or all are full', () => {
  const near = buildView({ nodeId: 'near' });
  const sameRegion = buildView({ nodeId: 'region', dataCentre: 'b' });
  const far = buildView({ nodeId: 'far', dataCentre: 'c', region: 's' });
  const self = buildView({ nodeId: 'self', instances: [] });
  const choose = (views: readonly MemberView[], full: readonly string[]) => {
    const sources = createSources([self, ...views]);
    for (const name of full) sources.stats.get('padbook', name, `1-${name}`).recordLoad(FULL, 0);
    const choice = chooseCandidate(listCandidates(buildRoute(), sources, undefined, 1), () => 0);
    return [choice?.candidate.view.record.nodeId, choice?.spillOver];
  };
  const all = [far, sameRegion, near];
  assert.deepEqual(choose(all, []), ['near', undefined]);
  assert.deepEqual(choose(all, ['near']), ['region', 'all-full']);
  assert.deepEqual(choose(all, ['near', 'region']), ['far', 'all-full']);
  assert.deepEqual(choose(all, ['near', 'region', 'far']), ['near', undefined]);
  assert.deepEqual(choose([far, sameRegion], []), ['region', 'none-usable']);
});

// Guards against sending full load to an instance that has just started.
test('the weight grows during warm-up, and the less loaded of two nodes is chosen', () => {
  const weights = [0, 500, 1000].map((ageMs) => computeWarmUpWeight(ageMs, 1000));
  assert.deepEqual([...weights, computeWarmUpWeight(0, 0)], [0.05, 0.5, 1, 1]);
  const views = ['n1', 'n2'].map((nodeId) => buildView({ nodeId }));
  const sources = createSources([buildView({ nodeId: 'self', instances: [] }), ...views]);
  sources.stats.get('padbook', 'n1', '1-n1').outstanding = 1;
  const candidates = listCandidates(buildRoute(), sources, undefined, 1);
  for (const random of [0, 0.5, 0.99]) {
    assert.equal(chooseCandidate(candidates, () => random)?.candidate.view.record.nodeId, 'n2');
  }
});
