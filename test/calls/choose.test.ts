import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  computeWeight,
  listCandidates,
  type CandidateSources,
} from '../../src/core/calls/candidates.js';
import { chooseCandidate } from '../../src/core/calls/choose.js';
import { createNodeStatsTable } from '../../src/core/calls/nodeStats.js';
import { listEjected, OutlierState } from '../../src/core/calls/outlier.js';
import type { MemberView } from '../../src/types/interfaces.js';
import type { LoadReport } from '../../src/types/calls.js';
import { buildInstance, buildRoute, buildView, createMembers, LOAD } from './fakes.js';

const SEED = { seed: 20_261_204, numRuns: 300 };
const FULL: LoadReport = { busy: 10, slots: 10, queued: 1 };
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
  verdict: fc.constantFrom('alive' as const, 'suspect' as const, 'dead' as const),
  state: fc.constantFrom(
    'joining' as const,
    'serving' as const,
    'leaving' as const,
    'left' as const,
  ),
  instanceState: fc.constantFrom('cold' as const, 'ready' as const, 'draining' as const),
  service: fc.constantFrom('padbook', 'other'),
  dataCentre: fc.constantFrom('a', 'b', 'c'),
  region: fc.constantFrom('r', 's'),
  failures: fc.integer({ min: 0, max: 2 }),
  isTried: fc.boolean(),
  isFull: fc.boolean(),
});

// Guards against work for nodes that are leaving, dead, draining, ejected or already tried.
test('the chooser never returns an unusable node', () => {
  fc.assert(
    fc.property(
      fc.array(memberArbitrary, { maxLength: 12 }),
      fc.integer({ min: 0, max: 100 }),
      fc.boolean(),
      fc.boolean(),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (members, percent, spillOver, isLeaving, random) => {
        const views = members.map((each, index) => ({
          ...buildView({
            nodeId: `n${index}`,
            state: each.state,
            dataCentre: each.dataCentre,
            region: each.region,
            instances: [buildInstance({ service: each.service, state: each.instanceState })],
          }),
          verdict: each.verdict,
        }));
        const sources = createSources(views, isLeaving);
        const tried = new Set<string>();
        for (const [index, each] of members.entries()) {
          const stats = sources.stats.get('padbook', `n${index}`, `1-n${index}`);
          if (each.isTried) tried.add(`n${index}`);
          if (each.isFull) stats.recordLoad(FULL, 0);
          for (let count = 0; count < each.failures; count += 1) {
            stats.outlier.recordFailure(OUTLIER, 0);
          }
        }
        const route = buildRoute({ spillOver }, percent);
        const excluded: string[] = [];
        const candidates = listCandidates(route, sources, tried, 1, (view, reason) =>
          excluded.push(`${view.record.nodeId} ${reason}`),
        );
        const choice = chooseCandidate(candidates, () => random);
        assert.equal(choice === undefined, candidates.length === 0);
        const ofService = members.filter(({ service }) => service === 'padbook').length;
        assert.equal(candidates.length + excluded.length, ofService);
        const usable = members.filter(
          (each, index) =>
            each.service === 'padbook' &&
            each.verdict !== 'dead' &&
            each.state === 'serving' &&
            each.instanceState !== 'draining' &&
            !(isLeaving && index === 0),
        ).length;
        const ejected = excluded.filter((text) => text.endsWith('ejected')).length;
        assert.ok(ejected * 100 <= usable * percent);
        if (!choice) return;
        const { record, verdict } = choice.candidate.view;
        const index = Number(record.nodeId.slice(1));
        const self = views[0]?.record;
        assert.notEqual(verdict, 'dead');
        assert.equal(record.state, 'serving');
        assert.deepEqual(
          [record.instances[0]?.service, record.instances[0]?.state !== 'draining'],
          ['padbook', true],
        );
        assert.ok(!tried.has(record.nodeId));
        assert.ok(!(isLeaving && index === 0));
        if (!spillOver) assert.equal(record.dataCentre, self?.dataCentre);
        assert.equal(choice.spillOver !== undefined, record.dataCentre !== self?.dataCentre);
      },
    ),
    SEED,
  );
});

// Guards against a service that loses all its nodes to ejection.
test('the bound on ejected nodes holds and keeps those whose ejection is longest', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 5 }), { maxLength: 20 }),
      fc.integer({ min: 0, max: 100 }),
      (ends, percent) => {
        const states = ends.map((end) => {
          const state = new OutlierState();
          if (end > 0) state.recordFailure({ ...OUTLIER, ejectMs: end }, 0);
          return state;
        });
        const ejected = listEjected(states, percent, 0.5);
        const failed = states.filter((state) => state.ejectedUntilMs > 0.5);
        const bound = Math.floor((states.length * percent) / 100);
        assert.equal(ejected.size, Math.min(failed.length, bound));
        const spared = failed.filter((state) => !ejected.has(state));
        const shortest = Math.min(...[...ejected].map((state) => state.ejectedUntilMs));
        for (const state of spared) assert.ok(state.ejectedUntilMs <= shortest);
      },
    ),
    SEED,
  );
});

// Guards against an outlier that returns as often as at first, and against one never tried again.
test('ejections double up to a limit and start over after a lasting success', () => {
  const state = new OutlierState();
  const ends: number[] = [];
  for (let round = 0; round < 9; round += 1) {
    const now = state.ejectedUntilMs;
    state.recordFailure(OUTLIER, now);
    ends.push(state.ejectedUntilMs - now);
    state.recordFailure(OUTLIER, now);
    assert.equal(state.ejectedUntilMs - now, ends.at(-1));
  }
  assert.deepEqual(
    ends,
    [1, 2, 4, 8, 16, 32, 64, 64, 64].map((factor) => factor * 1000),
  );
  const later = state.ejectedUntilMs + 64_000;
  state.recordSuccess(later);
  state.recordFailure(OUTLIER, later);
  assert.equal(state.ejectedUntilMs - later, 1000);
});

// Guards against needless hops between data centres and against a spill-over without a reason.
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

// Guards against full load on an instance that has just started.
test('a cold node gets its share of the load by age, and the less loaded of two is chosen', () => {
  assert.deepEqual(
    [0, 500, 1000, 2000].map((ageMs) => computeWeight(ageMs, 1000)),
    [0.05, 0.5, 1, 1],
  );
  assert.equal(computeWeight(0, 0), 1);
  const views = ['n1', 'n2'].map((nodeId) => buildView({ nodeId }));
  const sources = createSources([buildView({ nodeId: 'self', instances: [] }), ...views]);
  sources.stats.get('padbook', 'n1', '1-n1').outstanding = 1;
  const candidates = listCandidates(buildRoute(), sources, undefined, 1);
  for (const random of [0, 0.5, 0.99]) {
    assert.equal(chooseCandidate(candidates, () => random)?.candidate.view.record.nodeId, 'n2');
  }
});
