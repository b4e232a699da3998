/** Commands that read the metrics pages of nodes, against small servers. */
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import type { QuotaUsage } from '../../src/cli/metrics/quotaUsage.js';
import type { RolloutRow } from '../../src/cli/metrics/rolloutRows.js';
import { runProgram } from './runProgram.js';

const CLOSED_PORT = 'http://127.0.0.1:9';

/** Serves the pages in turn, the last one from then on; returns its URL. */
async function servePages(context: TestContext, ...pages: string[]): Promise<string> {
  let served = 0;
  const server = createServer((request, response) => {
    const page = pages[Math.min(served, pages.length - 1)]!;
    served += 1;
    response.writeHead(request.url === '/metrics' ? 200 : 404).end(page);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function formatPage(account: string, granted: number, returned: number, missing: number): string {
  const labels = `{account="${account}"}`;
  return [
    'lycheelane_calls{outcome="answered"} 7',
    `lycheelane_quota_tokens_granted${labels} ${granted}`,
    `lycheelane_quota_tokens_returned${labels} ${returned}`,
    `lycheelane_quota_tokens_missing${labels} ${missing}`,
    `lycheelane_quota_limit_per_s${labels} 20`,
    `lycheelane_quota_limit_burst${labels} 40`,
    `lycheelane_quota_denied${labels} ${missing}`,
    '',
  ].join('\n');
}

// Guards against totals since the start that are shown as those of the interval, against negative
// figures after the restart of a coordinator, and against names that are shown escaped.
test('quotas adds up the changes at all coordinators', async (context) => {
  const name = 'caf\\"e';
  const first = await servePages(
    context,
    formatPage(name, 100, 10, 1),
    formatPage(name, 130, 12, 4),
  );
  const restarted = await servePages(
    context,
    formatPage(name, 500, 0, 0),
    formatPage(name, 5, 0, 1),
  );
  const args = ['quotas', '--metrics', first, '--metrics', `${restarted}/metrics`];
  const { stdout, code } = await runProgram(...args, '--interval', '1', '--json');
  assert.equal(code, 0, stdout);
  const { accounts, unread } = JSON.parse(stdout) as {
    accounts: QuotaUsage[];
    unread: unknown[];
  };
  assert.deepEqual(unread, []);
  const [{ usedShare, ...usage }] = accounts as [QuotaUsage];
  assert.deepEqual(usage, {
    account: 'caf"e',
    ratePerS: 20,
    burst: 40,
    granted: 33,
    missing: 4,
    refused: 4,
  });
  assert.ok(usedShare > 0 && usedShare <= 33 / 20, `${usedShare}`);
});

// Guards against figures without a node that pass as complete.
test('quotas shows what it could read, and fails for the rest', async (context) => {
  const url = await servePages(context, formatPage('shop', 1, 0, 0));
  const args = ['quotas', '--metrics', url, '--metrics', CLOSED_PORT, '--interval', '1'];
  const { stdout, code } = await runProgram(...args);
  assert.equal(code, 1, stdout);
  assert.match(stdout, /^ACCOUNT +RATE\/S +BURST +GRANTED +MISSING +REFUSED +USED$/m);
  assert.match(stdout, /^shop +20 +40 +0 +0 +0 +0%$/m);
  assert.match(stdout, /not read: .*\(step metrics\.read, 127\.0\.0\.1:9\)/);
});

test('rollouts shows the state and the runs of both versions', async (context) => {
  const labels = 'service="pads",version="v2"';
  const url = await servePages(
    context,
    [
      `lycheelane_rollout_state{${labels},state="running"} 1`,
      `lycheelane_rollout_age_seconds{${labels}} 12.25`,
      `lycheelane_rollout_runs{${labels},instances="new"} 40`,
      `lycheelane_rollout_failures{${labels},instances="new"} 3`,
      `lycheelane_rollout_runs{${labels},instances="old"} 400`,
      `lycheelane_rollout_failures{${labels},instances="old"} 2`,
      '',
    ].join('\n'),
  );
  const without = await servePages(context, 'lycheelane_running 0\n');
  const args = ['rollouts', '--metrics', url, '--metrics', without];
  const text = await runProgram(...args);
  assert.equal(text.code, 0, text.stdout);
  assert.match(text.stdout, /^pads +v2 +running +3\/40 +2\/400 +12\.\ds +127\.0\.0\.1:\d+$/m);
  const json = await runProgram(...args, '--json');
  const { rollouts } = JSON.parse(json.stdout) as { rollouts: RolloutRow[] };
  assert.deepEqual(rollouts, [
    {
      peer: new URL(url).host,
      service: 'pads',
      version: 'v2',
      state: 'running',
      ageSeconds: 12.25,
      new: { runs: 40, failures: 3 },
      old: { runs: 400, failures: 2 },
    },
  ]);
});

// Guards against a wrong address that looks like a mesh without rollouts.
test('errors name step and peer, and have the exit codes of other commands', async (context) => {
  const other = await servePages(context, '<html>none</html>');
  const cases = [
    [
      1,
      other,
      `this is not the metrics page of a node (step metrics.read, ${new URL(other).host})`,
    ],
    [1, `${other}/else`, `status 404 (step metrics.read, ${new URL(other).host})`],
    [1, CLOSED_PORT, '(step metrics.read, 127.0.0.1:9)'],
    [2, 'n-1:9464', '(step config.metrics, self)'],
  ] as const;
  for (const [expected, url, message] of cases) {
    const { stderr, code } = await runProgram('rollouts', '--metrics', url);
    assert.equal(code, expected, stderr);
    assert.ok(stderr.replaceAll(/\s+/g, ' ').includes(message), stderr);
  }
  const { stdout, code } = await runProgram('quotas', '--metrics', CLOSED_PORT, '--json');
  assert.equal(code, 1, stdout);
  assert.match(stdout, /metrics\.read/);
});
