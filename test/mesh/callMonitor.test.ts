/** What the node of an instance records about the calls of other nodes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CallMonitor } from '../../src/mesh/callMonitor.js';
import type { EventLog } from '../../src/mesh/eventLog.js';
import { MeshMetrics } from '../../src/mesh/meshMetrics.js';
import type { CallMetadata, RunReport } from '../../src/mesh/model.js';
import { brandText } from '../../src/types/ids.js';
import { formatEvent } from '../../src/utils/formatEvent.js';

const REPORT: RunReport = {
  result: { kind: 'answered', response: { status: 200, headers: [], body: Buffer.alloc(0) } },
  load: undefined,
  timing: { queueMs: 10, runMs: 40 },
};

function buildMetadata(remainingMs: number): CallMetadata {
  return {
    attemptId: 'origin.1',
    requestId: 'r-1',
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent: true,
    priority: 0,
    deadlineAtMs: performance.now() + remainingMs,
    objectiveAtMs: performance.now() + remainingMs,
  };
}

function createMonitor() {
  const metrics = new MeshMetrics();
  const lines: string[] = [];
  const log: EventLog = {
    write: (level, event, fields = {}) => {
      lines.push(formatEvent(level, event, fields));
    },
  };
  return { metrics, lines, monitor: new CallMonitor({ metrics, log, getLagMs: () => 7 }) };
}

test('a call that starts after its deadline by the clock of its sender gets a line', () => {
  const { metrics, lines, monitor } = createMonitor();
  const trace = monitor.createTrace(buildMetadata(600 - 1500), 1500);
  trace.recordEnd(REPORT);
  assert.equal(lines.length, 1);
  assert.match(lines[0]!, /event=call-held-up request=r-1 origin=origin outcome=answered/);
  assert.match(lines[0]!, /reached=true transitMs=15\d\d lagMs=7 queueMs=10 runMs=40 leftMs=-9/);
  assert.match(metrics.render(), /lycheelane_runs_started_late\{\} 1/);
});

test('a call without a delay gets no line, also when its sender names no time', () => {
  const { metrics, lines, monitor } = createMonitor();
  monitor.createTrace(buildMetadata(600), 1).recordEnd(REPORT);
  monitor.createTrace(buildMetadata(600), undefined).recordEnd(REPORT);
  assert.deepEqual(lines, []);
  assert.match(metrics.render(), /lycheelane_transit_ms_count 1/);
});

test('a run that goes on after its connection closed gets a line unless resumed', (context) => {
  context.mock.timers.enable({ apis: ['Date'] });
  let nowMs = 0;
  context.mock.method(performance, 'now', () => nowMs);
  const { lines, monitor } = createMonitor();
  const abandoned = monitor.createTrace(buildMetadata(600), undefined);
  const resumed = monitor.createTrace(buildMetadata(600), undefined);
  abandoned.recordAbandoned();
  resumed.recordAbandoned();
  nowMs = 150;
  resumed.recordAttached();
  abandoned.recordEnd(REPORT);
  resumed.recordEnd(REPORT);
  assert.equal(lines.length, 1);
  assert.match(lines[0]!, /abandonedMs=150/);
});
