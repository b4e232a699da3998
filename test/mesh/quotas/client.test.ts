/**
 * Guards against tokens that a node uses twice or after their lease, and against requests that wait
 * without an end.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as waitForImmediate } from 'node:timers/promises';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import { QuotaClient, type QuotaDecision } from '../../../src/mesh/quotas/client.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { buildAccount } from './quotaMesh.js';

const ACCOUNT = buildAccount('a', 10, 10);
const COORDINATOR = brandText<NodeId>('n-1');

function createClient(startMs = 1000) {
  let nowMs = startMs;
  const client = new QuotaClient({
    isEnforced: () => true,
    log: SILENT_LOG,
    now: () => nowMs,
  });
  client.applyAccounts([ACCOUNT]);
  return {
    client,
    advance(ms: number) {
      nowMs += ms;
    },
    /** Answers the needs of a report; the tokens may be fewer than needed. */
    answer(tokens: number, retryAfterMs = 0, lifeMs = 1000) {
      const { needs } = client.collectTokens(COORDINATOR);
      const grant = { account: ACCOUNT.name, tokens, lifeMs, retryAfterMs };
      client.applyGrants(needs, [grant], COORDINATOR, nowMs);
      return needs;
    },
  };
}

test('accounts without a limit take no tokens and wait for no answer', async () => {
  const { client } = createClient();
  const unlimited = buildAccount('u', 0, 0);
  assert.equal((await client.take(unlimited)).kind, 'granted');
  assert.deepEqual(client.collectTokens(COORDINATOR).needs, []);
});

test('waiting requests share one report, and are served in their order', async () => {
  const { client, answer } = createClient();
  let calls = 0;
  client.onNeed(() => {
    calls += 1;
  });
  const decisions = [1, 2, 3].map(() => client.take(ACCOUNT));
  assert.equal(calls, 3);
  assert.deepEqual(answer(2, 120), [{ account: 'a', tokens: 4 }], 'three, and one expected');
  const kinds = (await Promise.all(decisions)).map(({ kind }) => kind);
  assert.deepEqual(kinds, ['granted', 'granted', 'denied']);
  client.close();
});

test('a denial holds for its time and ends early when the limit is raised', async () => {
  const { client, answer, advance } = createClient();
  const first = client.take(ACCOUNT);
  answer(0, 150);
  assert.deepEqual(await first, { kind: 'denied', retryAfterMs: 150 });
  advance(100);
  assert.deepEqual(await client.take(ACCOUNT), { kind: 'denied', retryAfterMs: 50 });
  client.applyAccounts([buildAccount('a', 20, 10)]);
  void client.take(ACCOUNT);
  assert.equal(client.isWaiting(), true, 'the coordinator is asked again');
  client.close();
});

test('a request that ended as not run gives its token back', async () => {
  const { client, answer, advance } = createClient();
  const first = client.take(ACCOUNT);
  answer(1);
  assert.equal((await first).kind, 'granted');
  advance(50);
  client.returnToken(ACCOUNT);
  assert.equal((await client.take(ACCOUNT)).kind, 'granted', 'the same token serves another');
  void client.take(ACCOUNT);
  assert.equal(client.isWaiting(), true, 'and no more than one');
  client.close();
});

test('a token is not given back twice, long after its use, or after its lease', async () => {
  for (const [waitMs, lifeMs] of [
    [450, 1000],
    [150, 100],
  ] as const) {
    const { client, answer, advance } = createClient();
    const first = client.take(ACCOUNT);
    answer(1, 0, lifeMs);
    await first;
    advance(waitMs);
    client.returnToken(ACCOUNT);
    client.returnToken(ACCOUNT);
    assert.deepEqual(client.listHolds(COORDINATOR), [], `after ${waitMs} ms`);
    client.close();
  }
});

test('tokens are not used after their lease, and not reported to another coordinator', async () => {
  const { client, answer, advance } = createClient();
  const first = [1, 2, 3].map(() => client.take(ACCOUNT));
  answer(4);
  await Promise.all(first);
  assert.deepEqual(client.listHolds(COORDINATOR), [{ account: 'a', tokens: 1 }]);
  assert.deepEqual(client.collectTokens(brandText('n-2')).holds, []);
  assert.deepEqual(client.collectTokens(brandText('n-2')).returns, []);
  advance(1000);
  void client.take(ACCOUNT);
  assert.equal(client.isWaiting(), true);
  client.close();
});

test('requests wait 500 ms at most when no coordinator answers', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const { client, advance } = createClient();
  const decided: (QuotaDecision | undefined)[] = [];
  const take = () => {
    void client.take(ACCOUNT).then((decision) => decided.push(decision));
  };
  take();
  advance(300);
  context.mock.timers.tick(300);
  take();
  advance(200);
  context.mock.timers.tick(200);
  await waitForImmediate();
  assert.deepEqual(decided, [{ kind: 'unknown', retryAfterMs: 200 }]);
  advance(300);
  context.mock.timers.tick(300);
  await waitForImmediate();
  assert.equal(decided.length, 2);
});

test('requests of an account that is removed do not wait, and nothing of it is kept', async () => {
  const { client } = createClient();
  const waiting = client.take(ACCOUNT);
  client.applyAccounts([]);
  assert.equal((await waiting).kind, 'unknown');
  assert.deepEqual(client.collectTokens(COORDINATOR), { needs: [], returns: [], holds: [] });
});
