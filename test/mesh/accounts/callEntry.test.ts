/**
 * Refusals of requests at their entry. Guards against a refusal whose status cannot be traced to
 * its reason, and against a 503 without a retry time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Authorization } from '../../../src/mesh/accounts/authorization.js';
import { CallEntry } from '../../../src/mesh/accounts/callEntry.js';
import type { MeshConfig, MeshRoute } from '../../../src/mesh/model.js';
import type { QuotaDecision } from '../../../src/mesh/quotas/client.js';
import { Cancellation } from '../../../src/mesh/signal.js';
import { buildAccount } from '../quotas/quotaMesh.js';

const IDENTITY = { account: buildAccount('shop', 10, 10), keyDigest: 'd' };
const ACCEPTED: Authorization = { kind: 'account', identity: IDENTITY, untilMs: undefined };
const GRANTED: QuotaDecision = { kind: 'granted' };

async function admit(authorization: Authorization, quota: QuotaDecision, uncountedMs = 0) {
  const entry = new CallEntry({
    gate: { authorize: () => authorization },
    getUncountedMs: () => uncountedMs,
    random: () => 0,
    quotas: { refuseDenied: () => undefined, take: async () => quota, returnToken: () => {} },
  });
  const decision = entry.admit({} as MeshConfig, {} as MeshRoute, 'key', 'r-1');
  const refusal =
    decision.kind === 'refused'
      ? decision
      : await entry.takeToken(decision.identity, new Cancellation());
  return refusal ? [refusal.status, refusal.reason, refusal.retryAfterMs] : decision.kind;
}

test('each refusal has the status and the reason of its cause', async () => {
  const refuse = (reason: 'key-missing' | 'key-unknown' | 'config-unconfirmed') =>
    admit({ kind: 'refused', reason }, GRANTED);
  assert.deepEqual(await refuse('key-missing'), [401, 'key-missing', undefined]);
  assert.deepEqual(await refuse('key-unknown'), [401, 'key-unknown', undefined]);
  assert.deepEqual(await refuse('config-unconfirmed'), [503, 'config-unconfirmed', 300]);
  const denied = await admit(ACCEPTED, { kind: 'denied', retryAfterMs: 70 });
  assert.deepEqual(denied, [429, 'quota-denied', 70]);
  const unknown = await admit(ACCEPTED, { kind: 'unknown', retryAfterMs: 200 });
  assert.deepEqual(unknown, [503, 'quota-unknown', 200]);
  assert.equal(await admit(ACCEPTED, GRANTED), 'admitted');
});

test('a node that is not counted yet tells its callers when to return', async () => {
  for (const kind of ['denied', 'unknown'] as const) {
    const refused = await admit(ACCEPTED, { kind, retryAfterMs: 50 }, 700);
    assert.deepEqual(refused, [503, 'quota-unknown', 700]);
  }
});
