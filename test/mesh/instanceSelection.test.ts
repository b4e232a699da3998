/** Selection among instances that differ in speed, health and data centre. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  chooseInstance,
  type Candidate,
  type SpillOverPolicy,
} from '../../src/mesh/instanceSelection.js';

interface NamedCandidate extends Candidate {
  readonly name: string;
}

const REQUEST = { objectiveMs: 500, priority: 2, canExplore: false };
const POLICY: SpillOverPolicy = { waitShare: 0.5, spillRank: 99 };
const NONE_TRIED = () => false;

function buildCandidate(name: string, change: Partial<Candidate> = {}): NamedCandidate {
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
    name: 'an instance in the same data centre',
    worse: { isSameDataCentre: false },
    better: { load: { ...LOAD, inFlight: 3 } },
  },
  {
    name: 'another data centre to a wait beyond the latency objective',
    worse: { load: { ...LOAD, inFlight: 30 } },
    better: { isSameDataCentre: false },
  },
  { name: 'a faster instance', worse: { load: { ...LOAD, meanMs: 300 } }, better: {} },
  { name: 'a less loaded instance', worse: { load: { ...LOAD, inFlight: 8 } }, better: {} },
  { name: 'an instance without failures', worse: { load: { ...LOAD, failures: 0.4 } }, better: {} },
  {
    name: 'another data centre to an instance with failures',
    worse: { load: { ...LOAD, failures: 0.5 } },
    better: { isSameDataCentre: false },
  },
  {
    name: 'a reachable instance in another data centre',
    worse: { isUnreachable: true },
    better: { isSameDataCentre: false },
  },
  {
    name: 'an instance without requests sent since its load report',
    worse: { outstanding: 6, outstandingAtLoad: 0 },
    better: {},
  },
];
for (const { name, worse, better } of CASES) {
  test(`selection prefers ${name}`, () => {
    const candidates = [buildCandidate('worse', worse), buildCandidate('better', better)];
    for (let step = 0; step < 20; step += 1) {
      const chosen = chooseInstance(candidates, REQUEST, POLICY, NONE_TRIED, () => step / 20);
      assert.equal(chosen?.name, 'better');
    }
  });
}

test('selection explores other instances, but no unreachable ones', () => {
  const candidates = [
    buildCandidate('remote', { isSameDataCentre: false }),
    buildCandidate('unreachable', { isUnreachable: true }),
    buildCandidate('local'),
  ];
  const counts = new Map<string, number>();
  for (let count = 0; count < 20_000; count += 1) {
    const { name } = chooseInstance(
      candidates,
      { ...REQUEST, canExplore: true },
      POLICY,
      NONE_TRIED,
    )!;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  assert.ok((counts.get('remote') ?? 0) > 0);
  assert.equal(counts.get('unreachable'), undefined);
  assert.ok((counts.get('local') ?? 0) > 19_000);
});

test('selection skips full instances and returns undefined when all are full', () => {
  const full = buildCandidate('full', { isFull: true });
  const remote = buildCandidate('remote', { isSameDataCentre: false });
  assert.equal(chooseInstance([full, remote], REQUEST, POLICY, NONE_TRIED)?.name, 'remote');
  assert.equal(chooseInstance([full], REQUEST, POLICY, NONE_TRIED), undefined);
  const policy = { waitShare: 4, spillRank: 1 };
  assert.equal(chooseInstance([full, remote], REQUEST, policy, NONE_TRIED), undefined);
});

test('selection returns undefined for an empty list', () => {
  assert.equal(chooseInstance([], REQUEST, POLICY, NONE_TRIED), undefined);
});

interface SpillCase {
  readonly name: string;
  readonly priority: number;
  readonly local: Partial<Candidate>;
  readonly wasLocalTried: boolean;
  readonly chosen: string | undefined;
}

const SPILL_CASES: readonly SpillCase[] = [
  {
    name: 'high priority, local instance tried',
    priority: 1,
    local: {},
    wasLocalTried: true,
    chosen: 'remote',
  },
  {
    name: 'low priority, local instance tried',
    priority: 2,
    local: {},
    wasLocalTried: true,
    chosen: undefined,
  },
  {
    name: 'low priority, local instance unreachable',
    priority: 2,
    local: { isUnreachable: true },
    wasLocalTried: false,
    chosen: 'remote',
  },
  {
    name: 'high priority, local instance busy',
    priority: 0,
    local: { load: { ...LOAD, inFlight: 20 } },
    wasLocalTried: false,
    chosen: 'local',
  },
];
for (const { name, priority, local, wasLocalTried, chosen } of SPILL_CASES) {
  test(`a strict spill-over policy selects ${chosen}: ${name}`, () => {
    const candidates = [
      buildCandidate('local', local),
      buildCandidate('remote', { isSameDataCentre: false }),
    ];
    const policy = { waitShare: 4, spillRank: 1 };
    const wasTried = (candidate: NamedCandidate) => wasLocalTried && candidate.name === 'local';
    const request = { ...REQUEST, priority };
    assert.equal(chooseInstance(candidates, request, policy, wasTried)?.name, chosen);
  });
}
