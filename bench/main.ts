/** Program: measures configuration distribution and control cost with real processes. */
import { parseArgs } from 'node:util';
import type { ConfigContent } from '../src/core/config/renderSite.js';
import type { Topology } from '../standins/launcher.js';
import { measureConvergence } from './convergence.js';
import { EXAMPLES, readExample } from './examples.js';
import { measureCut, measureHerd, measureOutage } from './faults.js';
import { renderFitTable } from './fit.js';
import { startFleet, type Fleet } from './fleet.js';
import { buildContext, renderReport, writeReport, type RunResult } from './report.js';
import { buildBase, buildTopology, setMode, type Mode } from './topologies.js';

const BENCHMARKS = ['convergence', 'herd', 'outage', 'cut', 'examples'] as const;
type Benchmark = (typeof BENCHMARKS)[number];

const USAGE = `usage: npm run bench -- [${BENCHMARKS.join('|')}|all]... [options]
       npm run bench -- fit RESULT.json...
  --nodes 6,12,24,48,96   fleet sizes of convergence
  --fault-nodes 24        fleet size of herd, outage and cut
  --data-centres 3        data centres of all but the examples
  --modes relay,direct    modes to compare
  --changes 20 --quiet-ms 20000 --settle-ms 12000 --outage-ms 60000 --cut-ms 20000 --seed 1`;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    nodes: { type: 'string', default: '6,12,24,48,96' },
    'fault-nodes': { type: 'string', default: '24' },
    'data-centres': { type: 'string', default: '3' },
    modes: { type: 'string', default: 'relay,direct' },
    changes: { type: 'string', default: '20' },
    'quiet-ms': { type: 'string', default: '20000' },
    'settle-ms': { type: 'string', default: '12000' },
    'outage-ms': { type: 'string', default: '60000' },
    'cut-ms': { type: 'string', default: '20000' },
    seed: { type: 'string', default: '1' },
    help: { type: 'boolean', default: false },
  },
});
const modes = values.modes.split(',') as Mode[];
const options = {
  changes: Number(values.changes),
  quietMs: Number(values['quiet-ms']),
  settleMs: Number(values['settle-ms']),
};
const dataCentres = Number(values['data-centres']);
const seed = Number(values.seed);

async function runOnFleet<Value>(
  topology: Topology,
  content: ConfigContent,
  measure: (fleet: Fleet) => Promise<Value>,
): Promise<Value> {
  const fleet = await startFleet(topology, content);
  try {
    return await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

function runGenerated<Value>(
  nodes: number,
  mode: Mode,
  measure: (fleet: Fleet) => Promise<Value>,
): Promise<Value> {
  const content = { base: buildBase() as never, overlays: {} };
  return runOnFleet(buildTopology(nodes, dataCentres, mode, seed), content, measure);
}

async function runExample(name: string, mode: Mode): Promise<RunResult> {
  const topology = { ...setMode(EXAMPLES[name] as Topology, mode), seed };
  const convergence = await runOnFleet(topology, await readExample(name), (fleet) =>
    measureConvergence(fleet, options),
  );
  const benchmark = `example ${name}`;
  const sites = topology.dataCentres.length;
  return { benchmark, mode, nodes: convergence.nodes, dataCentres: sites, convergence };
}

async function runFault(benchmark: Benchmark, mode: Mode): Promise<RunResult> {
  const nodes = Number(values['fault-nodes']);
  const run = { benchmark, mode, nodes, dataCentres };
  switch (benchmark) {
    case 'herd':
      return { ...run, herd: await runGenerated(nodes, mode, measureHerd) };
    case 'outage': {
      const outageMs = Number(values['outage-ms']);
      const measure = (fleet: Fleet) => measureOutage(fleet, outageMs);
      return { ...run, outage: await runGenerated(nodes, mode, measure) };
    }
    case 'cut': {
      const measure = (fleet: Fleet) => measureCut(fleet, Number(values['cut-ms']));
      return { ...run, cut: await runGenerated(nodes, mode, measure) };
    }
    case 'convergence':
    case 'examples':
      throw new Error(`${benchmark} has no fault`);
    default:
      return benchmark satisfies never;
  }
}

async function runBenchmark(benchmark: Benchmark, mode: Mode): Promise<RunResult[]> {
  if (benchmark === 'examples') {
    const results: RunResult[] = [];
    for (const name of Object.keys(EXAMPLES)) results.push(await runExample(name, mode));
    return results;
  }
  if (benchmark !== 'convergence') return [await runFault(benchmark, mode)];
  const results: RunResult[] = [];
  for (const nodes of values.nodes.split(',').map(Number)) {
    const convergence = await runGenerated(nodes, mode, (fleet) =>
      measureConvergence(fleet, options),
    );
    console.error(`convergence ${mode} ${nodes} nodes: p99 ${convergence.enforcedMs.p99} ms`);
    results.push({ benchmark, mode, nodes, dataCentres, convergence });
  }
  return results;
}

async function main(): Promise<void> {
  if (positionals[0] === 'fit') {
    console.log(await renderFitTable(positionals.slice(1)));
    return;
  }
  const unknown = positionals.filter((name) => ![...BENCHMARKS, 'all'].includes(name));
  const isFaulty = unknown.length > 0 || modes.some((mode) => !['relay', 'direct'].includes(mode));
  if (values.help || positionals.length === 0 || isFaulty) {
    console.error(USAGE);
    process.exitCode = values.help ? 0 : 2;
    return;
  }
  const chosen = BENCHMARKS.filter(
    (name) => positionals.includes(name) || positionals.includes('all'),
  );
  const command = `npm run bench -- ${process.argv.slice(2).join(' ')}`;
  const context = await buildContext(command, seed);
  const runs: RunResult[] = [];
  for (const benchmark of chosen) {
    for (const mode of modes) {
      runs.push(...(await runBenchmark(benchmark, mode)));
      // Written after each step, so that a failure later does not lose the figures.
      await writeReport(context, runs);
    }
  }
  console.log(renderReport(context, runs));
  console.error(`written to ${await writeReport(context, runs)}.{json,md}`);
}

await main();
