import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SoakChecker, VIOLATIONS, type SentCall, type Violation } from '../../soak/checker.js';
import type { CallResult } from '../../standins/caller.js';

const CALL: SentCall = {
  callId: 'a',
  operationId: 'a',
  isOnce: true,
  entryNodeId: 'n1',
  isPlannedStopOnly: false,
};
const ANSWER: CallResult = { kind: 'answered', status: 200, check: 'whole', version: 1 };
const NOT_RUN: CallResult = { kind: 'notRun', status: 503, reason: 'overloaded' };
const BROKEN: CallResult = { kind: 'broken', reason: 'ECONNRESET' };
const UNKNOWN: CallResult = { kind: 'unknown', status: 502, reason: 'connection-lost' };

function buildObservation(version: number, incarnation = 'i1', ready = true) {
  return { nodeId: 'n1', incarnation, version, ready };
}

// Guards against a checker that misses violations or reports false ones: each violation is recorded
// once, and similar permitted sequences must not be counted.
const cases: readonly {
  name: string;
  violation: Violation | undefined;
  record: (checker: SoakChecker) => void;
}[] = [
  {
    name: 'one operation of two requests runs twice',
    violation: 'runs over once',
    record: (checker) => {
      checker.recordCall(CALL);
      checker.recordCall({ ...CALL, callId: 'b' });
      checker.recordRun('a');
      checker.recordRun('b');
    },
  },
  {
    name: 'a repeatable call runs twice',
    violation: undefined,
    record: (checker) => {
      checker.recordCall({ ...CALL, isOnce: false });
      checker.recordRun('a');
      checker.recordRun('a');
    },
  },
  {
    name: 'a call told not-run has run',
    violation: 'false not-run answers',
    record: (checker) => {
      checker.recordCall({ ...CALL, isOnce: false });
      checker.recordResult(CALL, NOT_RUN);
      checker.recordRun('a');
    },
  },
  {
    name: 'a second request runs after the first was told not-run',
    violation: undefined,
    record: (checker) => {
      checker.recordCall(CALL);
      checker.recordResult(CALL, NOT_RUN);
      checker.recordCall({ ...CALL, callId: 'b' });
      checker.recordRun('b');
    },
  },
  ...(['truncated', 'crossed'] as const).map((check) => ({
    name: `a ${check} answer`,
    violation: 'truncated or crossed answers' as const,
    record: (checker: SoakChecker) => checker.recordResult(CALL, { ...ANSWER, check }),
  })),
  ...[BROKEN, UNKNOWN].map((result) => ({
    name: `a ${result.kind} call while only planned stops happen`,
    violation: 'requests cut by a planned stop' as const,
    record: (checker: SoakChecker) =>
      checker.recordResult({ ...CALL, isPlannedStopOnly: true }, result),
  })),
  {
    name: 'a broken call while processes are killed',
    violation: undefined,
    record: (checker) => checker.recordResult(CALL, BROKEN),
  },
  {
    name: 'a planned stop that passes its limit',
    violation: 'requests cut by a planned stop',
    record: (checker) => checker.recordPlannedStop('n1', 3),
  },
  {
    name: 'a process goes back',
    violation: 'version regressions of a process',
    record: (checker) =>
      [2, 1].forEach((version) => checker.recordVersion(buildObservation(version, 'i1', false))),
  },
  {
    name: 'a new process serves an older version',
    violation: 'version regressions of a host',
    record: (checker) => {
      checker.recordVersion(buildObservation(2));
      checker.recordVersion(buildObservation(1, 'i2'));
    },
  },
  {
    name: 'a call is served with an older version than one before it',
    violation: 'version regressions of a host',
    record: (checker) => {
      checker.recordServedVersion('n1', 0, 2);
      checker.recordServedVersion('n1', checker.getHostVersion('n1'), 1);
    },
  },
  {
    name: 'a new process is not ready yet',
    violation: undefined,
    record: (checker) => {
      checker.recordVersion(buildObservation(2));
      checker.recordVersion(buildObservation(0, 'i2', false));
      checker.recordVersion(buildObservation(2, 'i2'));
    },
  },
  {
    name: 'a route to a service that the node lacks',
    violation: 'dangling routes',
    record: (checker) => {
      checker.recordRoute('n1', 'pads', 'skyguide', true);
      checker.recordRoute('n1', 'fees', 'gone', false);
    },
  },
  {
    name: 'a node that does not catch up',
    violation: 'nodes behind at the end',
    record: (checker) => checker.recordFinalVersion('n1', 4, 5),
  },
];
for (const { name, violation, record } of cases) {
  test(`soak checker: ${name}`, () => {
    const checker = new SoakChecker();
    record(checker);
    const found = VIOLATIONS.filter((kind) => checker.getCount(kind) > 0);
    assert.deepEqual(found, violation === undefined ? [] : [violation]);
    assert.equal(checker.hasViolations(), violation !== undefined);
    if (violation !== undefined) assert.equal(checker.getCount(violation), 1);
  });
}

test('soak checker: every kind of violation has a case', () => {
  const covered = new Set(cases.map(({ violation }) => violation));
  assert.deepEqual(
    VIOLATIONS.filter((kind) => !covered.has(kind)),
    [],
  );
});
