/** Placing: which instance gets a request. Load: instances of different speed, health, distance. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseInstance, type Candidate, type DistancePolicy } from '../../src/mesh/placing.js';

interface Named extends Candidate {
  readonly name: string;
}

const REQUEST = { objectiveMs: 500, rank: 2, canExplore: false };
const POLICY: DistancePolicy = { waitShare: 0.5, spillRank: 99 };
const NONE = () => false;

function buildCandidate(name: string, change: Partial<Candidate> = {}): Named {
  return {
    name,
    isSameDataCentre: true,
    slots: 4,
    outstanding: 0,
    outstandingAtLoad: 0,
    load: { slots: 4, inFlight: 0, meanMs: 100, failures: 0 },
    isUnreachable: false,
    isFull: false,
    ...change,
  };
}

const LOAD = { slots: 4, inFlight: 0, meanMs: 100, failures: 0 };

const CASES: { name: string; worse: Partial<Candidate>; better: Partial<Candidate> }[] = [
  {
    name: 'the same data centre before another',
    worse: { isSameDataCentre: false },
    better: { load: { ...LOAD, inFlight: 3 } },
  },
  {
    name: 'another data centre before a wait beyond the objective',
    worse: { load: { ...LOAD, inFlight: 30 } },
    better: { isSameDataCentre: false },
  },
  { name: 'the faster one', worse: { load: { ...LOAD, meanMs: 300 } }, better: {} },
  { name: 'the emptier one', worse: { load: { ...LOAD, inFlight: 8 } }, better: {} },
  { name: 'one that does not fail', worse: { load: { ...LOAD, failures: 0.4 } }, better: {} },
  {
    name: 'one of another data centre before one that fails',
    worse: { load: { ...LOAD, failures: 0.5 } },
    better: { isSameDataCentre: false },
  },
  {
    name: 'one that responds',
    worse: { isUnreachable: true },
    better: { isSameDataCentre: false },
  },
  {
    name: 'one without requests that were sent since its report',
    worse: { outstanding: 6, outstandingAtLoad: 0 },
    better: {},
  },
];
for (const { name, worse, better } of CASES) {
  test(`placing prefers ${name}`, () => {
    const candidates = [buildCandidate('worse', worse), buildCandidate('better', better)];
    for (let step = 0; step < 20; step += 1) {
      const chosen = chooseInstance(candidates, REQUEST, POLICY, NONE, () => step / 20);
      assert.equal(chosen?.name, 'better');
    }
  });
}

test('placing now and then tries another instance, but none that does not respond', () => {
  const candidates = [
    buildCandidate('far', { isSameDataCentre: false }),
    buildCandidate('gone', { isUnreachable: true }),
    buildCandidate('near'),
  ];
  const counts = new Map<string, number>();
  for (let count = 0; count < 20_000; count += 1) {
    const { name } = chooseInstance(candidates, { ...REQUEST, canExplore: true }, POLICY, NONE)!;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  assert.ok((counts.get('far') ?? 0) > 0);
  assert.equal(counts.get('gone'), undefined);
  assert.ok((counts.get('near') ?? 0) > 19_000);
});

test('placing skips instances that are full, and finds none when all are', () => {
  const full = buildCandidate('full', { isFull: true });
  const far = buildCandidate('far', { isSameDataCentre: false });
  assert.equal(chooseInstance([full, far], REQUEST, POLICY, NONE)?.name, 'far');
  assert.equal(chooseInstance([full], REQUEST, POLICY, NONE), undefined);
  const near = { waitShare: 4, spillRank: 1 };
  assert.equal(chooseInstance([full, far], REQUEST, near, NONE), undefined);
});

test('placing has nothing to choose from an empty list', () => {
  assert.equal(chooseInstance([], REQUEST, POLICY, NONE), undefined);
});

interface SpillCase {
  readonly name: string;
  readonly rank: number;
  readonly near: Partial<Candidate>;
  readonly wasNearTried: boolean;
  readonly chosen: string | undefined;
}

const SPILL_CASES: readonly SpillCase[] = [
  { name: 'urgent, own one tried', rank: 1, near: {}, wasNearTried: true, chosen: 'far' },
  { name: 'not urgent, own one tried', rank: 2, near: {}, wasNearTried: true, chosen: undefined },
  {
    name: 'not urgent, own one silent',
    rank: 2,
    near: { isUnreachable: true },
    wasNearTried: false,
    chosen: 'far',
  },
  {
    name: 'urgent, own one busy',
    rank: 0,
    near: { load: { ...LOAD, inFlight: 20 } },
    wasNearTried: false,
    chosen: 'near',
  },
];
for (const { name, rank, near, wasNearTried, chosen } of SPILL_CASES) {
  test(`where distance is dear, a request goes to ${chosen}: ${name}`, () => {
    const candidates = [
      buildCandidate('near', near),
      buildCandidate('far', { isSameDataCentre: false }),
    ];
    const policy = { waitShare: 4, spillRank: 1 };
    const wasTried = (candidate: Named) => wasNearTried && candidate.name === 'near';
    const request = { ...REQUEST, rank };
    assert.equal(chooseInstance(candidates, request, policy, wasTried)?.name, chosen);
  });
}
