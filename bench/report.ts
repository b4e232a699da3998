/** Results as JSON and as Markdown tables. */
import { execFile } from 'node:child_process';
import { mkdir, writeFile } from 'node:fs/promises';
import { availableParallelism, loadavg } from 'node:os';
import { promisify } from 'node:util';
import type { ConvergenceResult } from './convergence.js';
import type { CutResult, HerdResult, OutageResult } from './faults.js';
import { computeFit, type Summary } from './statistics.js';
import type { Mode } from './topologies.js';

/** Figures of one fleet in one mode. */
export interface RunResult {
  readonly benchmark: string;
  readonly mode: Mode;
  readonly nodes: number;
  readonly dataCentres: number;
  readonly convergence?: ConvergenceResult;
  readonly herd?: HerdResult;
  readonly outage?: OutageResult;
  readonly cut?: CutResult;
}

/** Where and when figures were measured. */
export interface RunContext {
  readonly command: string;
  readonly commit: string;
  /** True when files differed from the commit. */
  readonly hasLocalChanges: boolean;
  readonly seed: number;
  readonly cores: number;
  /** Load average of the last minute at the start; other users of the machine raise it. */
  readonly loadAtStart: number;
  readonly date: string;
}

/** A row of a table: a label and a figure. */
type Figures = Readonly<Record<string, number>>;

const runFile = promisify(execFile);

/** Describes the run. */
export async function buildContext(command: string, seed: number): Promise<RunContext> {
  const { stdout: commit } = await runFile('git', ['rev-parse', '--short=10', 'HEAD']);
  const { stdout: changes } = await runFile('git', ['status', '--porcelain']);
  return {
    command,
    commit: commit.trim(),
    hasLocalChanges: changes.trim() !== '',
    seed,
    cores: availableParallelism(),
    loadAtStart: loadavg()[0] ?? 0,
    date: new Date().toISOString(),
  };
}

function listSummary(name: string, { p50, p99, max }: Summary): Figures {
  return { [`${name} p50`]: p50, [`${name} p99`]: p99, [`${name} max`]: max };
}

/** Lists the figures of a run under the names that the tables show. */
export function listFigures({ convergence, herd, outage, cut }: RunResult): Figures {
  return {
    ...(convergence && {
      ...listSummary('in force, ms', convergence.enforcedMs),
      'last node, ms p50': convergence.lastNodeMs.p50,
      'bytes per node and change': convergence.changeBytesPerNode,
      'CPU ms per node and change': convergence.changeCpuMsPerNode,
      'quiet bytes/s per node': convergence.quiet.bytesPerNodeSecond,
      'quiet messages/s per node': convergence.quiet.messagesPerNodeSecond,
      'quiet CPU % per node': convergence.quiet.cpuPercentPerNode,
      'quiet bytes/s per relay': convergence.quiet.relayBytesPerSecond,
      'quiet bytes/s largest': convergence.quiet.maxBytesPerSecond,
      'quiet CPU % per relay': convergence.quiet.relayCpuPercent,
      'resident MB p50': convergence.residentMb.p50,
      'resident MB max': convergence.residentMb.max,
      'quiet platform calls/s': convergence.quiet.platformCallsPerSecond,
      'quiet platform bytes/s per node': convergence.quiet.platformBytesPerNodeSecond,
      'platform calls per change': convergence.platformCallsPerChange,
    }),
    ...(herd && {
      'herd ready, ms': herd.readyMs,
      'herd platform calls': herd.platformCalls,
      'herd bytes per restarted node': herd.bytesPerRestartedNode,
    }),
    ...(outage && {
      'outage, ms': outage.outageMs,
      'nodes in force during outage': outage.inForceDuringOutage,
      ...listSummary('change before outage in force, ms', outage.enforcedMs),
      'refused calls': outage.refusedCalls,
      ...listSummary('change after outage in force, ms', outage.afterOutageMs),
    }),
    ...(cut && {
      'cut, ms': cut.cutMs,
      ...listSummary('others in force, ms', cut.othersMs),
      ...listSummary('after heal, ms', cut.afterHealMs),
    }),
  };
}

function formatNumber(value: number | undefined): string {
  if (value === undefined) return '';
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2);
}

/** Renders figures as rows with one column for each name. */
export function renderTable(columns: readonly (readonly [string, Figures])[]): string {
  const names = [...new Set(columns.flatMap(([, figures]) => Object.keys(figures)))];
  const rows = names.map(
    (name) =>
      `| ${name} | ${columns.map(([, figures]) => formatNumber(figures[name])).join(' | ')} |`,
  );
  const head = `| figure | ${columns.map(([label]) => label).join(' | ')} |`;
  return [head, `| --- |${' ---: |'.repeat(columns.length)}`, ...rows].join('\n');
}

/** Divides the figures of one mode by those of the other; a division by zero is left out. */
export function computeRatios(figures: Figures, baseline: Figures): Figures {
  return Object.fromEntries(
    Object.entries(figures)
      .filter(([name]) => (baseline[name] ?? 0) !== 0)
      .map(([name, value]) => [name, value / (baseline[name] as number)]),
  );
}

/** Renders the bytes per second and node of each message type in the quiet period. */
function renderTypes(runs: readonly RunResult[]): string {
  const columns = runs.flatMap(({ convergence, mode, nodes }) => {
    if (!convergence) return [];
    const { byType } = convergence.quiet;
    const entries = Object.entries(byType)
      .sort()
      .map(([type, { bytes }]) => [type, bytes] as const);
    return [[`${mode} ${nodes}`, Object.fromEntries(entries)] as const];
  });
  return columns.length === 0 ? '' : renderTable(columns);
}

/** Fits each figure of relay mode over the members per data centre. */
function renderFits(runs: readonly RunResult[]): string {
  const measured = runs.filter(({ mode, convergence }) => mode === 'relay' && convergence);
  const figures = measured.map((run) => [run.nodes / run.dataCentres, listFigures(run)] as const);
  if (new Set(figures.map(([members]) => members)).size < 3) return '';
  const rows = Object.keys(figures[0]?.[1] ?? {}).map((name) => {
    const fit = computeFit(figures.map(([members, all]) => [members, all[name] ?? 0]));
    const slope = fit.slopes[0]?.toPrecision(3);
    return `| ${name} | ${fit.intercept.toPrecision(4)} | ${slope} | ${fit.rSquared.toFixed(3)} |`;
  });
  return [
    '| figure | at 0 members | per member | R² |',
    '| --- | ---: | ---: | ---: |',
    ...rows,
  ].join('\n');
}

/** Renders a run as Markdown. */
export function renderReport(context: RunContext, runs: readonly RunResult[]): string {
  const sections = [`# ${context.command}`, '', '```json', JSON.stringify(context), '```', ''];
  for (const benchmark of new Set(runs.map((run) => run.benchmark))) {
    const own = runs.filter((run) => run.benchmark === benchmark);
    const label = (run: RunResult) => `${run.mode} ${run.nodes}`;
    sections.push(`## ${benchmark}`, '');
    sections.push(renderTable(own.map((run) => [label(run), listFigures(run)])), '');
    const ratios = own.flatMap((run) => {
      const baseline = own.find((other) => other.mode === 'direct' && other.nodes === run.nodes);
      if (run.mode !== 'relay' || !baseline) return [];
      const figures = computeRatios(listFigures(run), listFigures(baseline));
      return [[`${run.nodes} nodes`, figures] as const];
    });
    if (ratios.length > 0) sections.push('Relay divided by direct:', '', renderTable(ratios), '');
    const types = renderTypes(own);
    if (types !== '') sections.push('Quiet bytes/s per node by type:', '', types, '');
    const fits = renderFits(own);
    if (fits !== '') sections.push('Fit over members per data centre, relay:', '', fits, '');
  }
  return sections.join('\n');
}

/** Writes both forms to `bench-results/` and returns the path without its ending. */
export async function writeReport(
  context: RunContext,
  runs: readonly RunResult[],
): Promise<string> {
  await mkdir('bench-results', { recursive: true });
  const benchmark = (runs[0]?.benchmark ?? 'empty').replaceAll(' ', '-');
  const name = `${context.date.replaceAll(/[:.]/g, '-')}-${benchmark}`;
  const path = `bench-results/${name}`;
  await writeFile(`${path}.json`, JSON.stringify({ context, runs }, undefined, 2));
  await writeFile(`${path}.md`, renderReport(context, runs));
  return path;
}
