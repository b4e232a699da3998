/** Rendering of counters, gauges and latencies. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MeshMetrics } from '../../src/mesh/meshMetrics.js';

/** Returns the values of the rendered lines that begin with `prefix`. */
function readValues(metrics: MeshMetrics, prefix: string): number[] {
  const lines = metrics.render().split('\n');
  return lines.filter((line) => line.startsWith(prefix)).map((line) => Number(line.split(' ')[1]));
}

test('quantiles are within one per cent of the recorded latencies', () => {
  const metrics = new MeshMetrics();
  for (let ms = 1; ms <= 1000; ms += 1) metrics.recordLatency('call', ms);
  const quantiles = readValues(metrics, 'lycheelane_call_ms{');
  for (const [index, expected] of [500, 900, 990, 999].entries()) {
    assert.ok(Math.abs(quantiles[index]! / expected - 1) <= 0.01, `${quantiles[index]}`);
  }
  assert.deepEqual(readValues(metrics, 'lycheelane_call_ms_count'), [1000]);
});

test('latencies beyond the bounds are recorded as the bounds', () => {
  const metrics = new MeshMetrics();
  for (const ms of [-3, 0.2, 1e9, 1e9, 1e9]) metrics.recordLatency('lag', ms);
  const [median] = readValues(metrics, 'lycheelane_lag_ms{');
  assert.ok(median! >= 60_000 && median! <= 60_600, `${median}`);
  assert.deepEqual(readValues(metrics, 'lycheelane_lag_ms_count'), [5]);
});

test('counters and gauges are rendered with their labels and current values', () => {
  const metrics = new MeshMetrics();
  metrics.count('calls', 'outcome="answered"');
  metrics.count('calls', 'outcome="answered"', 2);
  let open = 1;
  metrics.registerGauge('open', () => open);
  open = 4;
  assert.equal(metrics.render(), 'lycheelane_calls{outcome="answered"} 3\nlycheelane_open 4\n');
});

// Guards against a name of an operator that ends its line or its label, and adds another value.
test('label values of samples are escaped', () => {
  const metrics = new MeshMetrics();
  metrics.registerSource(() => [{ name: 'used', labels: { account: 'a"b\\c\nd' }, value: 2 }]);
  assert.equal(metrics.render(), 'lycheelane_used{account="a\\"b\\\\c\\nd"} 2\n');
});
