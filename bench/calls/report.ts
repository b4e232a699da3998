/** Results as a Markdown table and as JSON. */
import { execFile } from 'node:child_process';
import { mkdir, writeFile } from 'node:fs/promises';
import { cpus, loadavg } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';

/** Table of one measurement; the rows also go into the JSON file. */
export interface BenchTable {
  readonly title: string;
  readonly rows: readonly Readonly<Record<string, string | number>>[];
  /** Sentences below the table. */
  readonly notes: readonly string[];
}

/** Circumstances of a run. */
export interface RunFacts {
  readonly commit: string;
  readonly seed: number;
  readonly cores: number;
  readonly date: string;
  /** Load average of one minute before the run. */
  readonly loadAverage: number;
}

const FOLDER = 'bench-results';

/** Rounds to at most `digits` decimal places. */
export function toRounded(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

/** Reads the circumstances of a run. */
export async function readRunFacts(seed: number): Promise<RunFacts> {
  const { stdout } = await promisify(execFile)('git', ['describe', '--always', '--dirty']);
  const date = new Date().toISOString();
  const loadAverage = toRounded(loadavg()[0] ?? 0);
  return { commit: stdout.trim(), seed, cores: cpus().length, date, loadAverage };
}

/** Renders a table in Markdown. */
export function renderTable({ title, rows, notes }: BenchTable): string {
  const names = Object.keys(rows[0] ?? {});
  const lines = [names, names.map(() => '---'), ...rows.map((row) => Object.values(row))];
  const table = lines.map((cells) => `| ${cells.join(' | ')} |`);
  return [`## ${title}`, '', ...table, '', ...notes, ''].join('\n');
}

/** Writes the tables of a run and returns the path of the Markdown file. */
export async function writeReport(
  name: string,
  facts: RunFacts,
  tables: readonly BenchTable[],
): Promise<string> {
  await mkdir(FOLDER, { recursive: true });
  const stem = join(FOLDER, `calls-${name}-${facts.date.replaceAll(':', '')}`);
  const { commit, seed, cores, date, loadAverage } = facts;
  const where = `${cores} cores, load average ${loadAverage}`;
  const head = `Commit ${commit}, seed ${seed}, ${where}, ${date}.`;
  await writeFile(`${stem}.json`, JSON.stringify({ facts, tables }, undefined, 2));
  await writeFile(`${stem}.md`, [head, '', ...tables.map(renderTable)].join('\n'));
  return `${stem}.md`;
}
