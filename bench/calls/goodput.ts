/** Answers within the deadline under overload, against calls spread over the upstreams directly. */
import { buildStream, runWithMesh, type BenchMesh } from './benchMesh.js';
import type { LoadResult } from './loadPlan.js';
import { toRounded, type BenchTable } from './report.js';
import { runLoad } from './runLoad.js';

const OPTIONS = { instances: 3, slots: 5, workMs: 50, queueLimit: 10 };
const CAPACITY = (OPTIONS.instances * OPTIONS.slots * 1000) / OPTIONS.workMs;
const FACTORS = [1, 2, 4];
const DEADLINE_MS = 500;
/** Shares of the arrivals in percent. */
const PRIORITY_SHARES = { critical: 20, normal: 50, sheddable: 30 } as const;

function formatOutcomes(result: LoadResult): string {
  const counts: Record<string, number> = {};
  const all = result.streams.flatMap(({ outcomes }) => Object.entries(outcomes));
  for (const [name, count] of all) counts[name] = (counts[name] ?? 0) + count;
  const sorted = Object.entries(counts).sort(([, one], [, other]) => other - one);
  return sorted.map(([name, count]) => `${name}: ${count}`).join(', ');
}

function buildRow(factor: number, path: string, result: LoadResult, seconds: number) {
  const sent = result.streams.reduce((sum, stream) => sum + stream.sent, 0);
  const inTime = result.streams.reduce((sum, stream) => sum + stream.inTime, 0);
  const shares = result.streams.map((stream) => [
    `${stream.name} in time`,
    `${((100 * stream.inTime) / Math.max(1, stream.sent)).toFixed(1)}%`,
  ]);
  return {
    load: `${factor}x`,
    path,
    'sent/s': toRounded(sent / seconds, 1),
    'answered in time/s': toRounded(inTime / seconds, 1),
    ...(Object.fromEntries(shares) as Record<string, string>),
    outcomes: formatOutcomes(result),
  };
}

function sendLoad(urls: readonly string[], factor: number, seed: number, seconds: number) {
  const streams = (['critical', 'normal', 'sheddable'] as const).map((name) =>
    buildStream(name, urls, name, PRIORITY_SHARES[name], DEADLINE_MS),
  );
  return runLoad({ seed, ratePerSecond: CAPACITY * factor, seconds, streams });
}

async function measureFactors({ entry, workers }: BenchMesh, seed: number, seconds: number) {
  const rows: BenchTable['rows'][number][] = [];
  const upstreams = workers.map((worker) => worker.upstreamUrl);
  // Calls before the measurement, so that it does not measure the compiler.
  await sendLoad([entry.callUrl], 1, seed, Math.min(5, seconds));
  for (const factor of FACTORS) {
    const direct = await sendLoad(upstreams, factor, seed + factor, seconds);
    rows.push(buildRow(factor, 'direct round robin', direct, seconds));
    const through = await sendLoad([entry.callUrl], factor, seed + factor, seconds);
    rows.push(buildRow(factor, 'mesh', through, seconds));
  }
  return rows;
}

/** Measures each load directly and through one entry node with the same arrivals. */
export async function measureGoodput(seed: number, seconds: number): Promise<BenchTable> {
  const rows = await runWithMesh({ ...OPTIONS, seed }, (bench) =>
    measureFactors(bench, seed, seconds),
  );
  const { instances, slots, workMs } = OPTIONS;
  const notes = [
    `Capacity ${CAPACITY} calls/s: ${instances} instances, ${slots} slots, ${workMs} ms of work.`,
    `Deadline ${DEADLINE_MS} ms from the planned send. Upstreams shed when all slots are busy.`,
  ];
  return { title: 'Goodput under overload', rows, notes };
}
