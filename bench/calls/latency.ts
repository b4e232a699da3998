/** Latency and CPU time that the mesh adds to a call, by rate of calls. */
import { buildStream, runWithMesh, type BenchMesh } from './benchMesh.js';
import { readCpuMs } from './cpu.js';
import { toRounded, type BenchTable } from './report.js';
import { getStream, runLoad } from './runLoad.js';
import { compareValues, computeMedian, type LatencySummary } from './statistics.js';

/** Design size: 27,000 calls/s over 540 nodes. */
const BASE_RATE = 50;
/** Latency that the mesh may add at p99 (design section 1). */
const TARGET_MS = 1.4;
const RATES = [1, 2, 4, 8, 16].map((step) => step * BASE_RATE);
/** Other work on the machine comes in bursts; the median of the rounds leaves one of them out. */
const ROUNDS = 3;
/**
 * Calls before the measurement: as many as a node serves in two minutes at the design's rate. Nodes
 * are replaced less than once in two days, so a measurement of cold code would not be typical.
 */
const WARM_UP = { ratePerSecond: 600, seconds: 10 };
/**
 * A load process is new in each round; its own compilation and its first connections, to upstream
 * and mesh alike, are not counted. Connections that the nodes close and open later are.
 */
const UNCOUNTED_SECONDS = 3;
const PERCENTILES = ['p50Ms', 'p99Ms', 'p999Ms'] as const;

/** One round at one rate. */
interface Round {
  readonly direct: LatencySummary;
  readonly through: LatencySummary;
  readonly sent: number;
  readonly cpuMs: number;
  readonly lateP99Ms: number;
}

interface RatePlan {
  readonly rate: number;
  readonly seconds: number;
  readonly seed: number;
}

async function measureRound(bench: BenchMesh, plan: RatePlan): Promise<Round> {
  const { mesh, entry, workers } = bench;
  const worker = workers[0] ?? entry;
  const pids = [entry, worker].map(({ nodeId }) => mesh.getProcess(nodeId).pid);
  const before = await Promise.all(pids.map(readCpuMs));
  const result = await runLoad({
    seed: plan.seed,
    // Half of the arrivals go directly to the upstream, so that noise meets both halves.
    ratePerSecond: plan.rate * 2,
    seconds: UNCOUNTED_SECONDS + plan.seconds,
    uncountedSeconds: UNCOUNTED_SECONDS,
    streams: [buildStream('direct', [worker.upstreamUrl]), buildStream('mesh', [entry.callUrl])],
  });
  const after = await Promise.all(pids.map(readCpuMs));
  const usedMs = after.reduce((sum, ms, index) => sum + ms - (before[index] ?? 0), 0);
  const through = getStream(result, 'mesh');
  return {
    direct: getStream(result, 'direct').latency,
    through: through.latency,
    sent: through.sent,
    cpuMs: (usedMs * plan.seconds) / (UNCOUNTED_SECONDS + plan.seconds),
    lateP99Ms: result.lateSends.p99Ms,
  };
}

function formatMedian(rounds: readonly Round[], get: (round: Round) => number): string {
  return computeMedian(rounds.map(get)).toFixed(2);
}

function buildPercentileCells(rounds: readonly Round[], name: (typeof PERCENTILES)[number]) {
  const compare = ({ direct, through }: Round) => compareValues(direct[name], through[name]);
  const added = rounds.map((round) => compare(round).addedMs);
  const range = [Math.min(...added), Math.max(...added)].map((ms) => ms.toFixed(2)).join(' to ');
  const label = name.replace('Ms', '');
  return {
    [`${label} direct ms`]: formatMedian(rounds, (round) => round.direct[name]),
    [`${label} mesh ms`]: formatMedian(rounds, (round) => round.through[name]),
    [`${label} added ms`]: `${computeMedian(added).toFixed(2)} (${range})`,
    [`${label} ratio`]: formatMedian(rounds, (round) => compare(round).ratio),
  };
}

/** Says whether the target holds; direct calls that vary more than the target decide nothing. */
function judgeRounds(rounds: readonly Round[]): 'yes' | 'no' | 'noise' {
  const spreadMs = computeMedian(rounds.map(({ direct }) => direct.p99Ms - direct.p50Ms));
  if (spreadMs > TARGET_MS) return 'noise';
  const addedMs = computeMedian(
    rounds.map(({ direct, through }) => compareValues(direct.p99Ms, through.p99Ms).addedMs),
  );
  return addedMs <= TARGET_MS ? 'yes' : 'no';
}

function buildRow(rate: number, rounds: readonly Round[]): BenchTable['rows'][number] {
  const sent = rounds.reduce((sum, round) => sum + round.sent, 0);
  const answered = rounds.reduce((sum, round) => sum + round.through.count, 0);
  const cpuMs = rounds.reduce((sum, round) => sum + round.cpuMs, 0);
  return {
    'calls/s per node': rate,
    'mesh calls': sent,
    unanswered: sent - answered,
    ...Object.assign({}, ...PERCENTILES.map((name) => buildPercentileCells(rounds, name))),
    'CPU ms/call': toRounded(cpuMs / Math.max(1, sent), 3),
    'late sends p99 ms': formatMedian(rounds, (round) => round.lateP99Ms),
    'target holds': judgeRounds(rounds),
  };
}

/**
 * Measures the rates, in calls/s; the time given is that of one round of one rate. Each round meets
 * all rates, so that neither code that gets faster nor a busy spell of the machine meets only one.
 */
export function measureLatency(
  seed: number,
  seconds: number,
  rates: readonly number[] = RATES,
): Promise<BenchTable> {
  const options = { seed, instances: 1, slots: 200, workMs: 10, queueLimit: 50 };
  return runWithMesh(options, async (bench) => {
    const streams = [buildStream('warm-up', [bench.entry.callUrl])];
    await runLoad({ ...WARM_UP, seed, streams });
    const results = rates.map((rate) => ({ rate, rounds: [] as Round[] }));
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const [index, { rate, rounds }] of results.entries()) {
        const plan = { rate, seconds, seed: seed + index * ROUNDS + round };
        rounds.push(await measureRound(bench, plan));
      }
    }
    const rows = results.map(({ rate, rounds }) => buildRow(rate, rounds));
    const held = rows.filter((row) => row['target holds'] === 'yes').at(-1)?.['calls/s per node'];
    const notes = [
      `Medians of ${ROUNDS} rounds, ranges in parentheses. CPU time is that of both nodes.`,
      `Highest step with at most ${TARGET_MS} ms added at p99: ${held ?? 'none shown'}.`,
      'A step is `noise` when the p99 of direct calls is more than the target above their p50.',
    ];
    return { title: 'Added latency', rows, notes };
  });
}
