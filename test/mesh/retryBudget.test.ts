/** Retry budget when every request fails and would be retried. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from '../../src/mesh/retryBudget.js';

const LIMIT = { ratio: 0.2, windowMs: 10_000, extra: 60 };

test('all nodes together stay within the limit in any window, for uneven traffic, too', () => {
  const nodes = Array.from({ length: 11 }, () => new RetryBudget(LIMIT));
  const retries: number[] = [];
  const requests: number[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    const index = nowMs < 30_000 ? 0 : (nowMs / 10) % nodes.length;
    const node = nodes[index]!;
    node.recordRequest('pads', nowMs);
    requests.push(nowMs);
    for (let tries = 0; tries < 3; tries += 1) {
      if (node.tryAcquire('pads', nodes.length, nowMs)) retries.push(nowMs);
    }
  }
  assert.ok(retries.length > 100);
  const countIn = (times: number[], fromMs: number) =>
    times.filter((time) => time >= fromMs && time < fromMs + LIMIT.windowMs).length;
  for (let fromMs = 0; fromMs < 50_000; fromMs += 250) {
    const allowed = LIMIT.ratio * countIn(requests, fromMs) + LIMIT.extra;
    assert.ok(countIn(retries, fromMs) <= allowed, `from ${fromMs} ms`);
  }
});

test('a service without recorded requests has a budget of one retry', () => {
  const budget = new RetryBudget(LIMIT);
  assert.equal(budget.tryAcquire('pads', 500, 0), true);
  assert.equal(budget.tryAcquire('pads', 500, 0), false);
});

test('budgets are separate for each service and are renewed', () => {
  const budget = new RetryBudget(LIMIT);
  while (budget.tryAcquire('pads', 11, 0));
  assert.equal(budget.tryAcquire('guide', 11, 0), true);
  assert.equal(budget.tryAcquire('pads', 11, 25_000), true);
});
