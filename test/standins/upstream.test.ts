import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { request } from 'undici';
import { closeServer, openServer, readBody, sendJson } from '../../standins/http.js';
import { buildAnswer, checkAnswer } from '../../standins/upstream/answer.js';
import { loadRuns } from '../../standins/upstream/ledger.js';
import { startUpstream, type Upstream } from '../../standins/upstream/server.js';
import type { UpstreamOptions } from '../../standins/upstream/upstreamOptions.js';
import { waitUntil } from '../../standins/wait.js';

async function withUpstream(
  change: Partial<UpstreamOptions>,
  run: (upstream: Upstream) => Promise<void>,
): Promise<void> {
  const upstream = await startUpstream({
    service: 'padbook',
    instanceId: 'padbook-1',
    slots: 2,
    workMs: 0,
    seed: 1,
    ...change,
  });
  try {
    await run(upstream);
  } finally {
    await upstream.close();
  }
}

async function sendCall(upstream: Upstream, callId: string, headers: Record<string, string> = {}) {
  const answer = await request(`${upstream.url}/pads?length=500`, {
    headers: { 'x-call-id': callId, 'lycheelane-request': `r-${callId}`, ...headers },
  });
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
}

async function cancelCall(upstream: Upstream, requestId: string): Promise<number> {
  const path = `/.lycheelane/cancel/${requestId}`;
  const answer = await request(upstream.url + path, { method: 'POST' });
  await answer.body.dump();
  return answer.statusCode;
}

// Guards against an upstream that runs more requests than it has slots, or that sheds a request
// without the header that states that it did not run.
test('upstream slots: the third of two is shed with proof, a cancelled one frees its slot', () =>
  withUpstream({}, async (upstream) => {
    upstream.setBehaviour({ hangPercent: 100 });
    const first = sendCall(upstream, 'a');
    const second = sendCall(upstream, 'b');
    await waitUntil(() => upstream.getStats().busy === 2);
    const shed = await sendCall(upstream, 'c');
    assert.equal(shed.status, 503);
    assert.equal(shed.headers['lycheelane-outcome'], 'not-run');
    upstream.setBehaviour({ shedProof: false });
    assert.equal((await sendCall(upstream, 'c')).headers['lycheelane-outcome'], undefined);
    assert.equal(await cancelCall(upstream, 'r-a'), 202);
    assert.equal((await first).status, 499);
    assert.equal(await cancelCall(upstream, 'r-a'), 404);
    upstream.setBehaviour({ hangPercent: 0 });
    const third = await sendCall(upstream, 'c');
    assert.equal(checkAnswer(third.text, 'c'), 'whole');
    await cancelCall(upstream, 'r-b');
    await second;
    const { runsByCall, shed: shedCount, overSlots, cancelled } = upstream.getStats();
    assert.deepEqual(runsByCall, { a: 1, b: 1, c: 1 });
    assert.deepEqual([shedCount, overSlots, cancelled], [2, 2, 2]);
  }));

// Guards against run counts that miss a repeated run or do not survive the process.
test('upstream run counts by call and key, in memory and in the file', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'lycheelane-test-'));
  const runLog = join(folder, 'runs');
  await withUpstream({ runLog }, async (upstream) => {
    await sendCall(upstream, 'a', { 'idempotency-key': 'k' });
    const again = await sendCall(upstream, 'a', { 'idempotency-key': 'k' });
    assert.equal((JSON.parse(again.text) as { run: number }).run, 2);
    assert.deepEqual(upstream.getStats().runsByCall, { a: 2 });
    assert.deepEqual(upstream.getStats().runsByKey, { k: 2 });
    assert.deepEqual(
      loadRuns(runLog).map(({ callId, key, requestId }) => [callId, key, requestId]),
      [
        ['a', 'k', 'r-a'],
        ['a', 'k', 'r-a'],
      ],
    );
  });
  await rm(folder, { recursive: true });
});

// Guards against injected faults whose result looks like a complete answer.
test('upstream behaviour: failure, truncation, reset, deadline, health that misleads', () =>
  withUpstream({}, async (upstream) => {
    upstream.setBehaviour({ failPercent: 100, failStatus: 507 });
    assert.equal((await sendCall(upstream, 'a')).status, 507);
    upstream.setBehaviour({ failPercent: 0, truncatePercent: 100 });
    await assert.rejects(sendCall(upstream, 'b'));
    upstream.setBehaviour({ truncatePercent: 0, resetPercent: 100 });
    await assert.rejects(sendCall(upstream, 'c'));
    upstream.setBehaviour({ resetPercent: 0, hangPercent: 100 });
    assert.equal((await sendCall(upstream, 'd', { 'lycheelane-deadline-ms': '5' })).status, 504);
    upstream.setBehaviour({ hangPercent: 0, healthLie: 'ill', claimedBusy: 7 });
    const health = await request(`${upstream.url}/health`);
    assert.equal(health.statusCode, 503);
    assert.deepEqual(await health.body.json(), { state: 'ready', busy: 7, slots: 2 });
    assert.equal(upstream.getStats().runs, 4);
    assert.throws(() => upstream.setBehaviour({ failPercent: 101 }), RangeError);
  }));

test('upstream answers: a check tells whole, truncated and crossed bodies apart', () => {
  const body = buildAnswer('a', 'i', 1, 100);
  assert.equal(checkAnswer(body, 'a'), 'whole');
  assert.equal(checkAnswer(body, 'b'), 'crossed');
  assert.equal(checkAnswer(body.slice(0, -1), 'a'), 'truncated');
  assert.equal(checkAnswer(body.replace('a|a|', 'b|b|'), 'a'), 'crossed');
  assert.equal(checkAnswer(body.replace('a|a|', ''), 'a'), 'truncated');
});

// Guards against an upstream that does not return its cookie, that stops announcing while its node
// is unreachable, or that drains without an announcement.
test('upstream announcements: cookie echo, unreachable node, leaving; nested call', async () => {
  const announcements: { state: string; cookie?: string }[] = [];
  const calls: Record<string, unknown>[] = [];
  let isUnavailable = true;
  const node = createServer((incoming, response) => {
    void readBody(incoming, 10_000).then((body) => {
      if (incoming.url !== '/v1/announce') {
        calls.push({ ...incoming.headers });
        sendJson(
          response,
          503,
          {},
          { 'lycheelane-outcome': 'not-run', 'lycheelane-retry': 'exhausted' },
        );
        return;
      }
      announcements.push(JSON.parse(String(body)) as { state: string; cookie?: string });
      if (isUnavailable) incoming.socket.destroy();
      else sendJson(response, 200, { cookie: `c${announcements.length}`, intervalMs: 50 });
    });
  });
  const port = await openServer(node, '127.0.0.1', 0);
  const url = `http://127.0.0.1:${port}`;
  await withUpstream(
    { announceUrl: url, announceIntervalMs: 1, callUrl: url },
    async (upstream) => {
      await waitUntil(() => announcements.length > 2);
      isUnavailable = false;
      await waitUntil(() => (upstream.getStats().announcements?.answered ?? 0) > 1);
      assert.equal(announcements.at(0)?.cookie, undefined);
      assert.match(announcements.at(-1)?.cookie ?? '', /^c\d+$/);
      const answer = await sendCall(upstream, 'a', {
        'x-call-depth': '2',
        'lycheelane-depth': '4',
        'lycheelane-deadline-ms': '60000',
      });
      assert.equal(answer.status, 502);
      assert.equal(answer.headers['lycheelane-retry'], 'exhausted');
      assert.equal(calls[0]?.['x-call-id'], 'a.2');
      assert.equal(calls[0]?.['x-call-depth'], '1');
      assert.equal(calls[0]?.['lycheelane-depth'], '4');
      assert.ok(Number(calls[0]?.['lycheelane-deadline-ms']) < 60_000);
      assert.equal(await upstream.drain(5_000), true);
      assert.equal(announcements.at(-1)?.state, 'leaving');
    },
  );
  await closeServer(node);
});
