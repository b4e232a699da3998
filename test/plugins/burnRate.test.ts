import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { BurnRing, computeBurnRates, deriveAlert } from '../../src/plugins/burnRate.js';

const MINUTE_MS = 60_000;
const START_MS = 1_800_000_000_000;
const SIX_HOURS_MS = 360 * MINUTE_MS;
const RATE_TOLERANCE = 1e-6;

describe('burn ring', () => {
  // Guards against windows that include older calls or omit the current minute.
  test('a window covers exactly its minutes', () => {
    const ring = new BurnRing();
    for (let minute = 0; minute < 10; minute += 1) {
      ring.record(START_MS + minute * MINUTE_MS, minute === 0, minute === 9);
    }
    const now = START_MS + 9 * MINUTE_MS;
    assert.deepEqual(ring.sum(now, 5), { total: 5, failed: 0, slow: 1 });
    assert.deepEqual(ring.sum(now, 30), { total: 10, failed: 1, slow: 1 });
  });

  // Guards against counts from six hours ago that reappear when the ring buffer wraps around.
  test('a bucket written for an earlier minute counts as empty', () => {
    const ring = new BurnRing();
    ring.record(START_MS, true, true);
    const laterMs = START_MS + SIX_HOURS_MS;
    assert.deepEqual(ring.sum(laterMs, 360), { total: 0, failed: 0, slow: 0 });
    ring.record(laterMs, false, false);
    assert.deepEqual(ring.sum(laterMs, 360), { total: 1, failed: 0, slow: 0 });
  });
});

describe('burn rates', () => {
  // Guards against a report without a burn rate for 1% of failures and an objective of 99.9%.
  test('a burn rate is the share of failed calls divided by the error budget', () => {
    const counts = { total: 1000, failed: 10, slow: 50 };
    const windows = { 5: counts, 30: counts, 60: counts, 360: counts };
    const rates = computeBurnRates(
      { availabilityPercent: 99.9, latencyMs: 100, latencyPercent: 95 },
      windows,
    );
    assert.ok(Math.abs(rates.availability[5]! - 10) < RATE_TOLERANCE);
    assert.ok(Math.abs(rates.latency![60]! - 1) < RATE_TOLERANCE);
  });

  const alertCases = [
    { rates: { 5: 15, 30: 15, 60: 15, 360: 7 }, alert: 'page' },
    { rates: { 5: 15, 30: 3, 60: 10, 360: 2 }, alert: 'none' },
    { rates: { 5: 0, 30: 0, 60: 15, 360: 7 }, alert: 'none' },
    { rates: { 5: 7, 30: 7, 60: 7, 360: 6 }, alert: 'ticket' },
  ];
  for (const { rates, alert } of alertCases) {
    // Guards against alerts from a single window: a past burst or a short spike.
    test(`rates ${JSON.stringify(rates)} give ${alert}`, () => {
      assert.equal(deriveAlert(rates), alert);
    });
  }
});
