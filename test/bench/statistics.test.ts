import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findInstalledAtMs, parseInstall } from '../../bench/installLog.js';
import { computeRatios } from '../../bench/report.js';
import { diffTotals, mergeTotals } from '../../bench/sample.js';
import {
  computeFit,
  computeFitted,
  computeQuantile,
  computeSummary,
} from '../../bench/statistics.js';
import { formatEvent } from '../../src/utils/logger.js';

// Guards against interpolated or off-by-one quantiles, which hide the slowest node.
test('statistics: quantiles are measured samples by nearest rank', () => {
  const samples = Array.from({ length: 200 }, (_, index) => 200 - index);
  const summary = computeSummary(samples);
  assert.deepEqual(summary, { count: 200, mean: 100.5, p50: 100, p99: 198, max: 200 });
  assert.equal(computeQuantile([7], 0.99), 7);
  assert.equal(computeQuantile([10, 9, 100], 0.5), 10);
});

// Guards against figures that are computed from nothing or from a failed measurement.
test('statistics: empty and non-finite samples are refused', () => {
  assert.throws(() => computeSummary([]), /no samples/);
  assert.throws(() => computeSummary([1, Number.NaN]), /not a finite number/);
  assert.throws(() => computeQuantile([1], 0), /not in/);
  assert.throws(() => computeQuantile([1], 99), /not in/);
});

// Guards against a wrong slope, on which the figures at the design size rest.
test('statistics: a fit finds known coefficients and its quality', () => {
  const exact = computeFit([0, 1, 2, 5].map((x) => [x, 3 + 0.5 * x]));
  assert.ok(Math.abs(exact.intercept - 3) < 1e-9);
  assert.ok(Math.abs((exact.slopes[0] ?? 0) - 0.5) < 1e-9);
  assert.ok(Math.abs(exact.rSquared - 1) < 1e-9);
  assert.ok(Math.abs(computeFitted(exact, [54]) - 30) < 1e-9);
  const plane = computeFit(
    [
      [2, 3],
      [32, 3],
      [4, 6],
      [8, 10],
    ].map(([a = 0, b = 0]) => [a, b, 100 + 2 * a - 7 * b]),
  );
  assert.ok(Math.abs(computeFitted(plane, [54, 10]) - 138) < 1e-6);
  // By hand: slope 1/2, intercept 7/6, residual 1/6 of a total of 2/3.
  const noisy = computeFit([
    [0, 1],
    [1, 2],
    [2, 2],
  ]);
  assert.ok(Math.abs(noisy.intercept - 7 / 6) < 1e-9);
  assert.ok(Math.abs(noisy.rSquared - 0.75) < 1e-9);
});

// Guards against extrapolation from points that leave a slope undetermined.
test('statistics: a fit that the points do not determine is refused', () => {
  assert.throws(() => computeFit([[1, 2]]), /1 points for 2 unknowns/);
  assert.throws(
    () =>
      computeFit([
        [4, 1],
        [4, 2],
        [4, 3],
      ]),
    /leave a slope open/,
  );
  assert.throws(
    () =>
      computeFit([
        [1, 2],
        [1, 2, 3],
      ]),
    /differ in length/,
  );
  assert.throws(
    () =>
      computeFitted(
        computeFit([
          [0, 1],
          [1, 2],
        ]),
        [1, 2],
      ),
    /wrong number/,
  );
});

// Guards against a change of the log format, which would leave the bench without installs.
test('installs: the logger line of an install is read, with its time', () => {
  const line = formatEvent('info', 'config-installed', { node: 'a-1', version: 12, source: 'b' });
  const install = parseInstall(line);
  assert.equal(install?.version, 12);
  assert.equal(new Date(install?.atMs ?? 0).toISOString(), /time=(\S+)/.exec(line)?.[1]);
  assert.equal(parseInstall(formatEvent('info', 'node-ready', { version: 12 })), undefined);
  const lines = [
    'time=2026-01-01T00:00:00.001Z level=info event=config-installed version=3',
    'time=2026-01-01T00:00:00.009Z level=info event=config-installed version=5',
  ];
  // A node that skipped version 4 enforced it no later than version 5.
  assert.equal(findInstalledAtMs(lines, 4), Date.parse('2026-01-01T00:00:00.009Z'));
  assert.equal(findInstalledAtMs(lines, 6), undefined);
});

// Guards against rates that count traffic from before the period, and against ratios of nothing.
test('counters: totals add up over nodes and differ over a period', () => {
  const before = mergeTotals([{ 'sent ping': { messages: 2, bytes: 20 } }, {}]);
  const after = mergeTotals([
    { 'sent ping': { messages: 3, bytes: 30 }, 'sent x': { messages: 1, bytes: 5 } },
    { 'sent ping': { messages: 1, bytes: 8 } },
  ]);
  assert.deepEqual(diffTotals(before, after), {
    'sent ping': { messages: 2, bytes: 18 },
    'sent x': { messages: 1, bytes: 5 },
  });
  assert.deepEqual(diffTotals(after, after), {});
  assert.deepEqual(computeRatios({ a: 6, b: 1, c: 1 }, { a: 3, b: 0 }), { a: 2 });
});
