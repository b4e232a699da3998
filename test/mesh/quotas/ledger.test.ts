/**
 * Guards against grants beyond the share of a coordinator, and against nodes that two coordinators
 * count at a time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { CoordinatorReport } from '../../../src/mesh/coordination/model.js';
import { Ledger } from '../../../src/mesh/quotas/ledger.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { buildAccount, computeBound, POLICY } from './quotaMesh.js';

const ACCOUNT = buildAccount('a', 100, 100);
/** 100 + (100 x 5 + 100) x 0.1 x 0.4 and a quarter of the slack. */
const CAPACITY = 125;

const STEADY = 60_000;

const NODES: readonly NodeId[] = Array.from({ length: 4 }, (_, index) => brandText(`n-${index}`));

function createLedger(account = ACCOUNT, nodes = NODES): Ledger {
  const ledger = new Ledger({ getPolicy: () => POLICY, listKnownNodes: () => nodes });
  ledger.applyAccounts([account], 0);
  return ledger;
}

function buildReport(node: NodeId, change: Partial<CoordinatorReport> = {}): CoordinatorReport {
  const none = { needs: [], returns: [], holds: [] };
  return { node, process: 'p', steadyMs: STEADY, mayBridge: false, ...none, ...change };
}

/** Asks for tokens; returns how many are granted. */
function ask(
  ledger: Ledger,
  atMs: number,
  tokens: number,
  change: Partial<CoordinatorReport> = {},
  node = NODES[0]!,
): number {
  const needs = [{ account: ACCOUNT.name, tokens }];
  const [grant] = ledger.answerNeeds(buildReport(node, { needs, ...change }), atMs, 0);
  return grant?.tokens ?? 0;
}

/** Lets nodes report every 400 ms. */
function keepReporting(ledger: Ledger, nodes: readonly NodeId[], fromMs: number, toMs: number) {
  for (let atMs = fromMs; atMs <= toMs; atMs += 400) {
    for (const node of nodes) ledger.answerNeeds(buildReport(node), atMs, 0);
  }
}

test('a new coordinator has no tokens, and then the rate of the nodes that report', () => {
  const ledger = createLedger();
  assert.equal(ask(ledger, 0, 50), 0);
  keepReporting(ledger, NODES.slice(0, 2), 0, 400);
  const granted = ask(ledger, 800, 500);
  assert.ok(granted >= 37 && granted <= 40, `${granted} in 800 ms at half the rate`);
});

test('an isolated coordinator loses the rate and the tokens of the nodes that left', () => {
  const ledger = createLedger();
  keepReporting(ledger, NODES, 0, 4000);
  keepReporting(ledger, NODES.slice(0, 1), 4400, 6000);
  keepReporting(ledger, NODES, 6400, 6400);
  const granted = ask(ledger, 6401, 500);
  assert.ok(granted <= CAPACITY / 4 + 1, `${granted}, a quarter of the capacity`);
});

test('nodes that are not in the list do not add to the shares of two coordinators', () => {
  const strangers = ['x-0', 'x-1', 'x-2', 'x-3'].map((name) => brandText<NodeId>(name));
  let granted = 0;
  for (const part of [0, 1]) {
    const ledger = createLedger();
    const isOwn = (_node: NodeId, index: number) => index % 2 === part;
    const reporting = [...NODES.filter(isOwn), ...strangers.filter(isOwn)];
    for (let atMs = 0; atMs < POLICY.windowMs; atMs += 400) {
      for (const node of reporting) granted += ask(ledger, atMs, 100, {}, node);
    }
  }
  const bound = computeBound(ACCOUNT);
  assert.ok(granted <= bound, `${granted} of ${bound}`);
  assert.ok(granted >= (ACCOUNT.ratePerS * POLICY.windowMs * 0.8) / 1000, `${granted}`);
});

test('a node that is missing in a later list is counted for a while', () => {
  let known: readonly NodeId[] = NODES;
  const ledger = new Ledger({ getPolicy: () => POLICY, listKnownNodes: () => known });
  ledger.applyAccounts([ACCOUNT], 0);
  keepReporting(ledger, NODES, 0, 2000);
  known = NODES.slice(2);
  keepReporting(ledger, NODES, 2400, 6000);
  const granted = ask(ledger, 6001, 500);
  assert.ok(granted >= CAPACITY - 1, `${granted}: the list may be incomplete after a failure`);
});

test('a node is never counted by two coordinators, however it changes between them', () => {
  const steps = fc.array(fc.tuple(fc.boolean(), fc.integer({ min: 1, max: 700 })), {
    maxLength: 60,
    size: 'max',
  });
  const property = fc.property(steps, (changes) => {
    const ledgers = [createLedger(), createLedger()] as const;
    const node = NODES[0]!;
    let atMs = 0;
    let current = 0;
    let sinceMs = 0;
    let totalGranted = 0;
    for (const [isChange, pauseMs] of changes) {
      atMs += pauseMs;
      if (isChange) {
        current = 1 - current;
        sinceMs = atMs;
      }
      const report = { steadyMs: atMs - sinceMs };
      totalGranted += ask(ledgers[current]!, atMs, 1000, report, node);
    }
    // One node of four has a quarter of the rate and of the burst.
    assert.ok(totalGranted <= (25 * atMs) / 1000 + CAPACITY / 4, `${totalGranted} in ${atMs} ms`);
  });
  fc.assert(property, { seed: 1, numRuns: 500 });
});

test('a report that was delayed, or whose age is unknown, does not count its node', () => {
  const ledger = createLedger();
  for (const atMs of [0, 400]) ledger.answerNeeds(buildReport(NODES[0]!), atMs);
  assert.equal(ask(ledger, 800, 500), 0, 'ages unknown');
  const late = createLedger();
  // Each report counts its node until 800 ms after it was sent.
  late.answerNeeds(buildReport(NODES[0]!), 240, 240);
  late.answerNeeds(buildReport(NODES[0]!), 3000, 0);
  const granted = ask(late, 3000, 500);
  assert.ok(granted <= 14, `${granted} in the 560 ms until then`);
});

test('leases of idle nodes do not add to what a window holds', () => {
  const ledger = createLedger();
  keepReporting(ledger, NODES, 0, 4000);
  assert.equal(ask(ledger, 4001, 100), 100);
  // The node has used nothing and says so; the bucket does not fill beside its tokens.
  const holds = [{ account: ACCOUNT.name, tokens: 100 }];
  for (let atMs = 4400; atMs <= 6000; atMs += 400) {
    keepReporting(ledger, NODES.slice(1), atMs, atMs);
    ledger.answerNeeds(buildReport(NODES[0]!, { holds }), atMs, 0);
  }
  const granted = ask(ledger, 6001, 500, {}, NODES[1]);
  assert.ok(granted <= CAPACITY - 100, `${granted}`);
});

test('returned tokens are granted again, but no more than the node has had', () => {
  const ledger = createLedger();
  keepReporting(ledger, NODES, 0, 4000);
  assert.equal(ask(ledger, 4001, 500), CAPACITY);
  const returns = [{ account: ACCOUNT.name, tokens: 1000 }];
  assert.equal(ask(ledger, 4002, 500, { returns }), CAPACITY);
});

test('a bridge adds its part of the excess once in a window', () => {
  const ledger = createLedger();
  const bridge = { steadyMs: 5, mayBridge: true };
  const first = ask(ledger, 5, 500, bridge);
  // (100 x 5 + 100) x 0.1 x 0.6 for all nodes, a quarter of it for one.
  assert.equal(first, 9);
  assert.equal(ask(ledger, 200, 500, bridge), 0);
  assert.equal(ask(ledger, 5200, 500, bridge), 9);
});

test('when tokens are short, shares follow the demand of the nodes', () => {
  const ledger = createLedger();
  const granted = [0, 0];
  for (let atMs = 0; atMs <= 20_000; atMs += 200) {
    keepReporting(ledger, NODES.slice(2), atMs, atMs);
    granted[0]! += ask(ledger, atMs, 300, {}, NODES[0]);
    granted[1]! += ask(ledger, atMs + 1, 100, {}, NODES[1]);
  }
  const ratio = granted[0]! / granted[1]!;
  assert.ok(ratio > 2 && ratio < 4, granted.join(' and '));
});

test('an isolated node serves small accounts only if it is one of the few favoured nodes', () => {
  const nodes = Array.from({ length: 73 }, (_, index) => brandText<NodeId>(`n-${index}`));
  const account = buildAccount('a', 73, 1);
  let serving = 0;
  for (const node of nodes) {
    const ledger = createLedger(account, nodes);
    ask(ledger, 0, 1, {}, node);
    keepReporting(ledger, [node], 400, 2000);
    if (ask(ledger, 2001, 1, {}, node) > 0) serving += 1;
  }
  assert.equal(serving, POLICY.slack / 2);
});

test('accounts that are removed or without a limit get no tokens and leave nothing', () => {
  const ledger = createLedger();
  keepReporting(ledger, NODES, 0, 2000);
  ledger.applyAccounts([], 2000);
  assert.deepEqual(
    ledger.answerNeeds(
      buildReport(NODES[0]!, { needs: [{ account: ACCOUNT.name, tokens: 1 }] }),
      2001,
      0,
    ),
    [],
  );
});
