/** Checker of the soak on the platform: counts each violation and no permitted sequence. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PlatformChecker, type Violation } from '../../soak/platform/checker.js';
import type { FleetResponse } from '../../standins/mesh/meshFleet.js';

const REQUEST = { id: 'r', isSafe: false, host: 'h' };

function buildResponse(status: number, body = 'i ran r', signature = 'signed-i'): FleetResponse {
  return { status, body, headers: { 'x-lycheelane-response-signature': signature } };
}

/** Records that the instance `i` says that it leaves, and a response of it some time later. */
function recordLeaving(checker: PlatformChecker, delayMs: number, isInterrupted: boolean): void {
  const response = buildResponse(200);
  const headers = { ...response.headers, 'server-leaving': '1' };
  checker.recordResponse(REQUEST, { ...response, headers }, 10, false, 1000);
  if (isInterrupted) checker.recordInterruption('h');
  checker.recordResponse(REQUEST, response, 10, false, 1010 + delayMs);
}

/** Arrivals at an instance, one per `gapMs`. */
function listArrivals(count: number, gapMs: number): number[] {
  return Array.from({ length: count }, (_, index) => index * gapMs);
}

interface Case {
  readonly name: string;
  readonly violation: Violation | undefined;
  readonly record: (checker: PlatformChecker) => void;
}

const CASES: readonly Case[] = [
  {
    name: 'a request that runs once and is answered',
    violation: undefined,
    record: (checker) => {
      checker.recordResponse(REQUEST, buildResponse(200), 10, true);
      checker.recordRun('r');
    },
  },
  {
    name: 'two runs',
    violation: 'unsafe request ran twice',
    record: (checker) => {
      checker.recordRun('r');
      checker.recordRun('r');
    },
  },
  {
    name: 'a refusal of what ran',
    violation: 'request refused that ran',
    record: (checker) => {
      checker.recordResponse(REQUEST, buildResponse(503), 10, false);
      checker.recordRun('r');
    },
  },
  {
    name: 'a failure of what ran',
    violation: undefined,
    record: (checker) => {
      checker.recordResponse(REQUEST, buildResponse(502), 10, false);
      checker.recordRun('r');
    },
  },
  {
    name: 'the response to another request',
    violation: "success without the instance's whole response",
    record: (checker) => checker.recordResponse(REQUEST, buildResponse(200, 'i ran q'), 10, false),
  },
  {
    name: 'a success without a signature',
    violation: "success without the instance's whole response",
    record: (checker) =>
      checker.recordResponse(REQUEST, buildResponse(200, 'i ran r', ''), 1, false),
  },
  {
    name: 'a run that nobody asked for',
    violation: 'request unknown to its caller ran',
    record: (checker) => checker.recordRun('forged'),
  },
  {
    name: 'a run long after its caller left',
    violation: 'request run after its caller had left',
    record: (checker) => {
      checker.recordDeparture(REQUEST, 1000);
      checker.recordRun('r', 1600);
    },
  },
  {
    name: 'a run that began while its caller was leaving',
    violation: undefined,
    record: (checker) => {
      checker.recordDeparture(REQUEST, 1000);
      checker.recordRun('r', 1400);
    },
  },
  {
    name: 'a cut after a planned stop had read the request',
    violation: 'request cut by a planned stop',
    record: (checker) => checker.recordResponse(REQUEST, 'ECONNRESET', 500, true),
  },
  {
    name: 'a cut of a request that ran',
    violation: 'request cut by a planned stop',
    record: (checker) => {
      checker.recordResponse(REQUEST, 'ECONNRESET', 5, true);
      checker.recordRun('r');
    },
  },
  {
    name: 'a request that crosses the close of its connection',
    violation: undefined,
    record: (checker) => checker.recordResponse(REQUEST, 'ECONNRESET', 5, true),
  },
  {
    name: 'a connection that is refused late, as nothing was sent',
    violation: undefined,
    record: (checker) => checker.recordResponse(REQUEST, 'ECONNREFUSED', 500, true),
  },
  {
    name: 'a request to an instance that said that it leaves',
    violation: 'request to an instance that says that it leaves',
    record: (checker) => recordLeaving(checker, 2001, false),
  },
  {
    name: 'a request shortly after an instance said that it leaves',
    violation: undefined,
    record: (checker) => recordLeaving(checker, 1900, false),
  },
  {
    name: 'a request of a node that restarted since an instance said that it leaves',
    violation: undefined,
    record: (checker) => recordLeaving(checker, 2001, true),
  },
  {
    name: 'an instance with one request more than its limit allows',
    violation: 'instance over its limit',
    record: (checker) => checker.checkLimit('i', 5, listArrivals(36, 100)),
  },
  {
    name: 'an instance with all that its limit allows, for a long time',
    violation: undefined,
    record: (checker) => checker.checkLimit('i', 5, listArrivals(200, 120)),
  },
  {
    name: 'a cut beside a kill',
    violation: undefined,
    record: (checker) => checker.recordResponse(REQUEST, 'ECONNRESET', 500, false),
  },
];

for (const { name, violation, record } of CASES) {
  test(`${name} is ${violation ? `seen as "${violation}"` : 'no violation'}`, () => {
    const checker = new PlatformChecker();
    checker.recordSent(REQUEST);
    record(checker);
    checker.finish();
    assert.equal(checker.hasViolations(), violation !== undefined);
    if (violation) assert.equal(checker.getCount(violation), 1);
  });
}
