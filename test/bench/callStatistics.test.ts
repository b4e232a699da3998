import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  LatencyHistogram,
  buildArrivals,
  compareValues,
  computeMedian,
} from '../../bench/calls/statistics.js';
import { createRandom } from '../../standins/random.js';

// Guards against a pause of the load process that hides the wait of the calls it sent late.
test('latency counts from the planned send', () => {
  const histogram = new LatencyHistogram();
  for (let call = 0; call < 99; call += 1) histogram.record(0, 10);
  histogram.record(0, 60);
  const { count, p50Ms, p99Ms, p999Ms } = histogram.getSummary();
  assert.equal(count, 100);
  assert.ok(Math.abs(p50Ms - 10) < 0.05);
  assert.ok(Math.abs(p99Ms - 10) < 0.05);
  assert.ok(Math.abs(p999Ms - 60) < 0.1);
});

// Guards against an end before the planned send, or an empty run, that breaks the report.
test('a histogram takes values at its bounds', () => {
  const histogram = new LatencyHistogram();
  assert.deepEqual(histogram.getSummary(), { count: 0, p50Ms: 0, p99Ms: 0, p999Ms: 0, maxMs: 0 });
  histogram.record(5, 4);
  histogram.record(0, 1e9);
  assert.equal(histogram.getSummary().count, 2);
});

// Guards against runs of one seed that differ, and against a rate other than the one asked for.
test('arrivals repeat with their seed and keep their rate', () => {
  const first = buildArrivals(100, 100, createRandom(7));
  assert.deepEqual(first, buildArrivals(100, 100, createRandom(7)));
  assert.notDeepEqual(first, buildArrivals(100, 100, createRandom(8)));
  assert.ok(Math.abs(first.length - 10_000) < 400);
  assert.ok(first.every((atMs, index) => atMs > (first[index - 1] ?? 0) && atMs < 100_000));
});

// Guards against a division by zero and against the wrong sign of a difference.
test('comparison gives the added time and the ratio', () => {
  assert.deepEqual(compareValues(10, 12), { addedMs: 2, ratio: 1.2 });
  assert.deepEqual(compareValues(0, 1), { addedMs: 1, ratio: 0 });
  assert.equal(computeMedian([]), 0);
  assert.equal(computeMedian([3, 1, 2]), 2);
  assert.equal(computeMedian([4, 1, 2, 3]), 2.5);
});
