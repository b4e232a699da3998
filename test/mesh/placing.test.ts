/** Placing: which instance gets a request. Load: instances of different speed, health, distance. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseInstance, type Candidate } from '../../src/mesh/placing.js';

interface Named extends Candidate {
  readonly name: string;
}

const OBJECTIVE_MS = 500;

function buildCandidate(name: string, change: Partial<Candidate> = {}): Named {
  return {
    name,
    isSameDataCentre: true,
    slots: 4,
    outstanding: 0,
    outstandingAtLoad: 0,
    load: { slots: 4, inFlight: 0, meanMs: 100, failures: 0 },
    isUnreachable: false,
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
      const chosen = chooseInstance(candidates, OBJECTIVE_MS, false, () => step / 20);
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
    const name = chooseInstance(candidates, OBJECTIVE_MS, true)!.name;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  assert.ok((counts.get('far') ?? 0) > 0);
  assert.equal(counts.get('gone'), undefined);
  assert.ok((counts.get('near') ?? 0) > 19_000);
});

test('placing has nothing to choose from an empty list', () => {
  assert.equal(chooseInstance([], OBJECTIVE_MS, true), undefined);
});
