/** Program: measures the call path, see docs/benchmarks-calls.md. */
import { parseArgs } from 'node:util';
import { measureDepth } from './depth.js';
import { measureGoodput } from './goodput.js';
import { measureLatency } from './latency.js';
import { measureLeaving } from './leaving.js';
import { measureMemory } from './memory.js';
import { readRunFacts, renderTable, writeReport, type BenchTable } from './report.js';

type Measure = (seed: number, seconds: number, rates?: readonly number[]) => Promise<BenchTable>;

const MEASURES: Readonly<Record<string, Measure>> = {
  latency: measureLatency,
  goodput: measureGoodput,
  depth: measureDepth,
  leaving: measureLeaving,
  memory: measureMemory,
};

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seconds: { type: 'string', default: '20' },
    seed: { type: 'string', default: '1' },
    rates: { type: 'string' },
  },
});
const name = positionals[0] ?? 'all';
const seconds = Number(values.seconds);
const seed = Number(values.seed);
/** Calls/s per node, for `latency` only. */
const rates = values.rates?.split(',').map(Number);
const chosen = name === 'all' ? Object.keys(MEASURES) : [name];
if (
  chosen.some((one) => MEASURES[one] === undefined) ||
  !(seconds > 0) ||
  !(seed > 0) ||
  rates?.some((rate) => !(rate > 0))
) {
  console.error(`usage: bench:calls -- ${Object.keys(MEASURES).join('|')}|all [--seconds N]`);
  process.exitCode = 2;
} else {
  const facts = await readRunFacts(seed);
  const tables: BenchTable[] = [];
  for (const one of chosen) {
    const table = await MEASURES[one]!(seed, seconds, rates);
    tables.push(table);
    console.log(renderTable(table));
  }
  console.log(await writeReport(name, facts, tables));
}
