/** Fits the figures of earlier runs and evaluates them at the design size. */
import { readFile } from 'node:fs/promises';
import { listFigures, type RunContext, type RunResult } from './report.js';
import { computeFit, computeFitted } from './statistics.js';

/** Members per data centre and data centres of the design size. */
const DESIGN_SIZE = [54, 10] as const;

/** Reads the relay runs with convergence figures from result files. */
async function readRuns(paths: readonly string[]): Promise<RunResult[]> {
  const files = await Promise.all(
    paths.map(
      async (path) =>
        JSON.parse(await readFile(path, 'utf8')) as { context: RunContext; runs: RunResult[] },
    ),
  );
  return files
    .flatMap(({ runs }) => runs)
    .filter(({ mode, benchmark }) => mode === 'relay' && benchmark === 'convergence');
}

/** Renders a fit of each figure over members per data centre and data centres. */
export async function renderFitTable(paths: readonly string[]): Promise<string> {
  const runs = await readRuns(paths);
  const points = runs.map((run) => ({
    inputs: [run.nodes / run.dataCentres, run.dataCentres],
    figures: listFigures(run),
  }));
  const [members, dataCentres] = DESIGN_SIZE;
  const names = [...new Set(points.flatMap(({ figures }) => Object.keys(figures)))];
  const rows = names.map((name) => {
    // Files of earlier commits lack later figures; without a spare point a fit shows no error.
    const known = points.filter(({ figures }) => Number.isFinite(figures[name]));
    if (known.length <= DESIGN_SIZE.length + 1) return `| ${name} | too few runs | | | | |`;
    const fit = computeFit(known.map(({ inputs, figures }) => [...inputs, figures[name] ?? NaN]));
    const values = [fit.intercept, ...fit.slopes, fit.rSquared, computeFitted(fit, DESIGN_SIZE)];
    return `| ${name} | ${values.map((value) => value.toPrecision(4)).join(' | ')} |`;
  });
  return [
    `| figure | constant | per member | per data centre | R² | at ${members} x ${dataCentres} |`,
    '| --- | ---: | ---: | ---: | ---: | ---: |',
    ...rows,
  ].join('\n');
}
