/**
 * Metrics of quotas by account. Guards against totals that mix accounts up or keep accounts that
 * the configuration no longer has, and against lines where no account has a limit.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QuotaClient } from '../../../src/mesh/quotas/client.js';
import { Ledger } from '../../../src/mesh/quotas/ledger.js';
import { listQuotaSamples } from '../../../src/mesh/quotas/quotaSamples.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { buildAccount, POLICY } from './quotaMesh.js';

const NODE = brandText<NodeId>('n-1');
const SHOP = buildAccount('shop', 100, 100);
const CAFE = buildAccount('cafe', 10, 10);
const EMPTY = { needs: [], returns: [], holds: [] };

function createParts() {
  const ledger = new Ledger({ getPolicy: () => POLICY, listKnownNodes: () => [NODE] });
  const client = new QuotaClient({
    isEnforced: () => true,
    log: { write: () => {} },
    now: () => 1000,
  });
  const report = (atMs: number, change: object = {}) => {
    const head = { node: NODE, process: 'p', steadyMs: 60_000, mayBridge: false };
    return ledger.answerNeeds({ ...head, ...EMPTY, ...change }, atMs, 0);
  };
  const readValues = () =>
    listQuotaSamples(ledger, client).map(
      ({ name, labels, value }) => `${name} ${Object.values(labels).join()} ${value}`,
    );
  return { ledger, client, report, readValues };
}

test('tokens are counted by account, and forgotten with the account', () => {
  const { ledger, report, readValues } = createParts();
  assert.deepEqual(readValues(), []);
  ledger.applyAccounts([SHOP, CAFE], 0);
  assert.deepEqual(readValues(), []);
  for (let atMs = 0; atMs <= 400; atMs += 400) report(atMs);
  const [grant] = report(800, { needs: [{ account: SHOP.name, tokens: 1000 }] });
  const granted = grant!.tokens;
  assert.ok(granted > 2 && granted < 1000, `${granted}`);
  const returns = [{ account: SHOP.name, tokens: 2 }];
  report(900, { returns, holds: [{ account: SHOP.name, tokens: granted - 2 }] });
  assert.deepEqual(readValues(), [
    `quota_tokens_granted shop ${granted}`,
    'quota_tokens_returned shop 2',
    `quota_tokens_missing shop ${1000 - granted}`,
    'quota_limit_per_s shop 100',
    'quota_limit_burst shop 100',
  ]);
  ledger.applyAccounts([CAFE], 1000);
  assert.deepEqual(readValues(), []);
});

test('refused requests are counted by account, and forgotten with the account', async () => {
  const { client, readValues } = createParts();
  client.applyAccounts([SHOP, CAFE]);
  const decision = client.take(SHOP);
  const { needs } = client.collectTokens(NODE);
  const denial = { account: SHOP.name, tokens: 0, lifeMs: 1000, retryAfterMs: 50 };
  client.applyGrants(needs, [denial], NODE, 1000);
  assert.equal((await decision).kind, 'denied');
  await client.take(SHOP);
  assert.deepEqual(readValues(), ['quota_denied shop 2']);
  client.applyAccounts([CAFE]);
  assert.deepEqual(readValues(), []);
  client.close();
});
