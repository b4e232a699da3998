/** The repeat budget. Load: every request fails and would be repeated. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RepeatBudget } from '../../src/mesh/repeats.js';

const LIMIT = { ratio: 0.2, windowMs: 10_000, extra: 60 };

test('all nodes together stay within the limit in any window, however requests are spread', () => {
  const nodes = Array.from({ length: 11 }, () => new RepeatBudget(LIMIT));
  const repeats: number[] = [];
  const requests: number[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    const index = nowMs < 30_000 ? 0 : (nowMs / 10) % nodes.length;
    const node = nodes[index]!;
    node.recordRequest('pads', nowMs);
    requests.push(nowMs);
    for (let tries = 0; tries < 3; tries += 1) {
      if (node.takeRepeat('pads', nodes.length, nowMs)) repeats.push(nowMs);
    }
  }
  assert.ok(repeats.length > 100);
  const countIn = (times: number[], fromMs: number) =>
    times.filter((time) => time >= fromMs && time < fromMs + LIMIT.windowMs).length;
  for (let fromMs = 0; fromMs < 50_000; fromMs += 250) {
    const allowed = LIMIT.ratio * countIn(requests, fromMs) + LIMIT.extra;
    assert.ok(countIn(repeats, fromMs) <= allowed, `from ${fromMs} ms`);
  }
});

test('a service without requests may still be repeated a little', () => {
  const budget = new RepeatBudget(LIMIT);
  assert.equal(budget.takeRepeat('pads', 500, 0), true);
  assert.equal(budget.takeRepeat('pads', 500, 0), false);
});

test('budgets of services are separate and renewed', () => {
  const budget = new RepeatBudget(LIMIT);
  while (budget.takeRepeat('pads', 11, 0));
  assert.equal(budget.takeRepeat('guide', 11, 0), true);
  assert.equal(budget.takeRepeat('pads', 11, 25_000), true);
});
