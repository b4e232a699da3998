import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { test } from 'node:test';
import type { BurnAnswer } from '../../src/cli/report/burnAnswer.js';
import { renderBurnPage } from '../../src/cli/report/burnHtml.js';
import { runProgram } from '../config/runProgram.js';
import { createDir } from '../config/samples.js';

const COUNTS = { total: 1000, failed: 15, slow: 0 };
const RATES = { 5: 15, 30: 5.9, 60: 14.4, 360: 6 };

/** Builds a report of one route with these availability burn rates and no latency objective. */
function buildAnswer(route: string, burn: Record<number, number> = RATES): BurnAnswer {
  const windows = { 5: COUNTS, 30: COUNTS, 60: COUNTS, 360: COUNTS };
  const objective = { availabilityPercent: 99.9 };
  const availability = { burn, alert: 'page' as const };
  const latencies = { p50Ms: 1.5, p99Ms: 20 };
  return {
    version: 7,
    routes: [{ route, windows, ...latencies, objective, availability, latency: null }],
  };
}

/** Vertical limits of the bars, in SVG units. */
const CHART_TOP = 12;
const CHART_BOTTOM = 180;
const SOURCE = { node: 'http://127.0.0.1:7400', scope: 'all', atMs: 0 };
const HOSTILE = '"><script>alert(\'x\')</script><img src=x onerror="y">&amp;\u0007';

// Guards against script injection: a name that a node reports runs in the browser of the reader.
test('burn page: untrusted text adds no tag and no attribute', () => {
  const answer = buildAnswer(HOSTILE);
  Object.assign(answer, { version: HOSTILE });
  Object.assign(answer.routes[0] ?? {}, { p50Ms: HOSTILE, objective: { [HOSTILE]: HOSTILE } });
  Object.assign(answer.routes[0]?.availability ?? {}, { alert: HOSTILE });
  const listTags = (page: string) =>
    page.match(/<[^>]*>/g)?.map((tag) => tag.replace(/".*?"/g, '""'));
  const page = renderBurnPage(answer, { ...SOURCE, node: HOSTILE, scope: HOSTILE });
  const plainPage = renderBurnPage(buildAnswer('book'), SOURCE);
  assert.deepEqual(listTags(page), listTags(plainPage));
  assert.ok(page.includes('&quot;&gt;&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt;'));
  assert.doesNotMatch(page, /https?:\/\/|url\(/, 'the page refers to nothing outside');
  assert.ok(!page.includes('\u0007'));
});

// Guards against bars that do not mark a window above its threshold, or exceed the chart.
test('burn page: a bar is marked at or above its threshold and stays within the chart', () => {
  for (const [burn, expected] of [
    [RATES, ['over', 'ok', 'over', 'over']],
    [{ 5: 0, 30: 0, 60: 0, 360: 0 }, ['ok', 'ok', 'ok', 'ok']],
    [{ 5: 14.3, 30: 6, 60: 100_000, 360: 0 }, ['ok', 'over', 'over', 'ok']],
    [{}, ['ok', 'ok', 'ok', 'ok']],
  ] as const) {
    const page = renderBurnPage(buildAnswer('book', burn), SOURCE);
    const bars = [
      ...page.matchAll(/<rect class="(\w+)"[^/]* y="([\d.]+)"[^/]* height="([\d.]+)"/g),
    ];
    assert.deepEqual(
      bars.map(([, kind]) => kind),
      expected,
    );
    for (const [, , y, height] of bars) {
      const isInside = Number(y) >= CHART_TOP && Number(y) + Number(height) < CHART_BOTTOM;
      assert.ok(isInside, `${y} ${height}`);
    }
    assert.equal(page.match(/class="threshold"/g)?.length, 4);
  }
});

// Guards against a page that replaces the other outputs, is written in part, or contains the
// credentials of the URL, and against exit code 0 after a failed write.
test('report burn: --html writes the page in addition to text and JSON', async (context) => {
  const server = createServer((_, response) => {
    response.end(JSON.stringify(buildAnswer('book')));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const dir = await createDir(context);
  const file = join(dir, 'burn.html');
  const run = (...args: string[]) =>
    runProgram('report', 'burn', '--node', `http://me:secret@${address}`, ...args);
  const text = await run('--html', file);
  assert.match(text.stdout, /book +availability +15\.00[^]*written to .*burn\.html/);
  const page = await readFile(file, 'utf8');
  assert.ok(page.includes(address) && !page.includes('secret'));
  const json = await run('--html', file, '--json');
  assert.deepEqual(JSON.parse(json.stdout), buildAnswer('book'));
  const failed = await run('--html', join(dir, 'none', 'burn.html'));
  assert.equal(failed.code, 1);
  assert.match(failed.stderr, /not written: ENOENT/);
  assert.deepEqual(await readdir(dir), ['burn.html']);
});
