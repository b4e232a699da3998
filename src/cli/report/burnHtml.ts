/** The burn report as a self-contained HTML page without scripts. */
import { BURN_RULES, BURN_WINDOWS_MIN } from '../../plugins/burnRate.js';
import {
  formatNumber,
  listObjectives,
  type BurnAnswer,
  type BurnRoute,
  type NamedObjective,
} from './burnAnswer.js';

/** Origin and time of the report data. */
export interface BurnPageSource {
  readonly node: string;
  readonly scope: string;
  readonly atMs: number;
}

/** Size and margins of a chart, in units of its view box. */
const CHART = { width: 420, height: 200, left: 44, right: 10, top: 16, bottom: 26 } as const;
const PLOT_WIDTH = CHART.width - CHART.left - CHART.right;
const PLOT_HEIGHT = CHART.height - CHART.top - CHART.bottom;
/** Width of a bar relative to the width available to its window. */
const BAR_WIDTH_RATIO = 0.55;
/** Distance between the axis and its labels. */
const AXIS_LABEL_GAP = 6;
/** Offset from the middle of a label to its baseline. */
const AXIS_LABEL_DY = 4;
/** Distance between a bar and the value above it. */
const VALUE_LABEL_GAP = 4;
/** Distance between the bottom of the chart and the labels of the windows. */
const WINDOW_LABEL_GAP = 8;
/** Distance between the threshold lines of adjacent windows, on each side. */
const THRESHOLD_INSET = 4;
/** Height of the axis relative to the highest rate. */
const AXIS_HEADROOM_RATIO = 1.2;
const MINUTES_PER_HOUR = 60;
/** Rates of the grid lines: 6 and 14.4 are thresholds; 1000 is an objective of 99.9% at 0%. */
const TICKS = [0, 1, 6, 14.4, 100, 1000, 10_000] as const;
/** Keeps both thresholds within the axis when all rates are low. */
const MIN_AXIS_RATE = 30;

const STYLE = `
body{font:15px/1.45 system-ui,sans-serif;color:#1c2430}
body{margin:2rem auto;max-width:62rem;padding:0 1rem}
section{border-top:1px solid #cdd4dd;padding:.6rem 0}h2{font-size:1.1rem;margin:.3rem 0}
.charts{display:flex;flex-wrap:wrap;gap:1.5rem}figure{margin:0}svg{width:26rem;max-width:100%}
table{border-collapse:collapse}td,th{padding:.15rem .8rem .15rem 0;text-align:left}
.axis{stroke:#8a94a3}.grid{stroke:#e3e7ec}
.threshold{stroke:#b3261e;stroke-dasharray:5 3;stroke-width:1.5}
.ok{fill:#4f7cac}.over{fill:#b3261e}text{font-size:11px;fill:#1c2430}
.page,.ticket{font-weight:bold;color:#b3261e}
`;

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Escapes text for HTML content and quoted attributes; control characters become U+FFFD. */
export function formatHtmlText(text: unknown): string {
  return String(text)
    .replaceAll(/\p{Cc}/gu, '\uFFFD')
    .replaceAll(/[&<>"']/g, (character) => ESCAPES[character] ?? '');
}

function getThreshold(windowMin: number): number {
  const rule = BURN_RULES.find(({ windowsMin }) => windowsMin.includes(windowMin));
  return rule?.rate ?? Number.POSITIVE_INFINITY;
}

/** Uses a logarithmic scale of 1 + rate, since rates range from below 1 to above 1000. */
function computeY(rate: number, top: number): number {
  const share = Math.min(1, Math.log1p(Math.max(0, rate)) / Math.log1p(top));
  return CHART.top + PLOT_HEIGHT * (1 - share);
}

function formatWindow(windowMin: number): string {
  return windowMin < MINUTES_PER_HOUR ? `${windowMin} min` : `${windowMin / MINUTES_PER_HOUR} h`;
}

function renderAxis(top: number): string {
  return TICKS.filter((tick) => tick <= top)
    .map((tick) => {
      const y = computeY(tick, top).toFixed(1);
      const end = CHART.width - CHART.right;
      const line = `<line class="grid" x1="${CHART.left}" x2="${end}" y1="${y}" y2="${y}"/>`;
      const x = CHART.left - AXIS_LABEL_GAP;
      const position = `x="${x}" y="${y}" dy="${AXIS_LABEL_DY}"`;
      return `${line}<text ${position} text-anchor="end">${tick}</text>`;
    })
    .join('');
}

function renderBar(windowMin: number, index: number, rate: unknown, top: number): string {
  const slot = PLOT_WIDTH / BURN_WINDOWS_MIN.length;
  const left = CHART.left + slot * index;
  const middle = (left + slot / 2).toFixed(1);
  const threshold = getThreshold(windowMin);
  const value = typeof rate === 'number' ? rate : 0;
  const y = computeY(value, top);
  const base = computeY(0, top);
  const line = computeY(threshold, top).toFixed(1);
  const width = (slot * BAR_WIDTH_RATIO).toFixed(1);
  const x = (left + (slot * (1 - BAR_WIDTH_RATIO)) / 2).toFixed(1);
  const thresholdStart = (left + THRESHOLD_INSET).toFixed(1);
  const thresholdEnd = (left + slot - THRESHOLD_INSET).toFixed(1);
  const kind = value >= threshold ? 'over' : 'ok';
  return [
    `<rect class="${kind}" x="${x}" y="${y.toFixed(1)}" width="${width}"`,
    ` height="${(base - y).toFixed(1)}"/>`,
    `<line class="threshold" x1="${thresholdStart}" x2="${thresholdEnd}"`,
    ` y1="${line}" y2="${line}"/>`,
    `<text x="${middle}" y="${(y - VALUE_LABEL_GAP).toFixed(1)}" text-anchor="middle">`,
    `${formatNumber(rate, 2)}</text>`,
    `<text x="${middle}" y="${CHART.height - WINDOW_LABEL_GAP}" text-anchor="middle">`,
    `${formatWindow(windowMin)}</text>`,
  ].join('');
}

function renderChart(route: string, { name, burn }: NamedObjective): string {
  const rates = BURN_WINDOWS_MIN.map((windowMin) => burn.burn[windowMin]);
  const known = rates.filter((rate) => typeof rate === 'number');
  const top = Math.max(MIN_AXIS_RATE, ...known) * AXIS_HEADROOM_RATIO;
  const bars = BURN_WINDOWS_MIN.map((windowMin, index) =>
    renderBar(windowMin, index, rates[index], top),
  ).join('');
  const label = formatHtmlText(`Burn rate of ${route}, ${name}, by window`);
  const base = computeY(0, top).toFixed(1);
  const end = CHART.width - CHART.right;
  const alert = formatHtmlText(burn.alert);
  const alertClass = burn.alert === 'page' || burn.alert === 'ticket' ? burn.alert : 'none';
  return [
    `<figure><figcaption>${name}, alert: <span class="${alertClass}">${alert}</span></figcaption>`,
    `<svg viewBox="0 0 ${CHART.width} ${CHART.height}" role="img" aria-label="${label}">`,
    `<title>${label}</title>${renderAxis(top)}${bars}`,
    `<line class="axis" x1="${CHART.left}" x2="${end}" y1="${base}" y2="${base}"/>`,
    '</svg></figure>',
  ].join('');
}

function renderRoute(route: BurnRoute): string {
  const objectives = listObjectives(route);
  const charts = objectives.map((objective) => renderChart(route.route, objective)).join('\n');
  const goals = Object.entries(route.objective ?? {})
    .map(([key, value]) => `${key} ${value}`)
    .join(', ');
  const rows = BURN_WINDOWS_MIN.map((windowMin) => {
    const counts = route.windows[windowMin];
    const cells = [counts?.total, counts?.failed, counts?.slow];
    const numbers = cells.map((cell) => `<td>${formatNumber(cell, 0)}</td>`).join('');
    return `<tr><th>${formatWindow(windowMin)}</th>${numbers}</tr>`;
  });
  const latency = `p50 ${formatNumber(route.p50Ms, 1)} ms, p99 ${formatNumber(route.p99Ms, 1)} ms`;
  return [
    `<section><h2>${formatHtmlText(route.route)}</h2>`,
    `<p>${formatHtmlText(goals === '' ? 'no objective' : `objective: ${goals}`)}; ${latency}</p>`,
    `<div class="charts">${charts}`,
    '<table><tr><th>window</th><th>calls</th><th>failed</th><th>slow</th></tr>',
    `${rows.join('')}</table></div></section>`,
  ].join('\n');
}

/** Renders the page; all text from the node or the operator is escaped. */
export function renderBurnPage(answer: BurnAnswer, { node, scope, atMs }: BurnPageSource): string {
  const time = new Date(atMs).toISOString();
  const rules = BURN_RULES.map(
    ({ alert, rate, windowsMin }) =>
      `<li><strong>${alert}</strong>: at least ${rate} over ` +
      `${windowsMin.map(formatWindow).join(' and ')}</li>`,
  ).join('');
  const routes = answer.routes.map(renderRoute).join('\n');
  const where = formatHtmlText(
    `${time}, configuration version ${answer.version}, read from ${node}, scope ${scope}`,
  );
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<meta name="viewport" content="width=device-width">
<title>lycheelane burn report ${time}</title>
<style>${STYLE}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>${where}</p>
<p>At a burn rate of 1, the error budget is used up exactly at the end of its period. A dashed line
is the threshold of its window; an alert requires both windows of its rule. The scale is
logarithmic. Counts are reset when a node restarts.</p>
<ul>${rules}</ul>
${routes === '' ? '<p>no calls yet</p>' : routes}
</body>
</html>
`;
}
