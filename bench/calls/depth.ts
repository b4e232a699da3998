/** Attempts that one call of a caller causes at depth 15, under overload. */
import { request } from 'undici';
import type { MeshHost } from '../../standins/launcher.js';
import { buildStream, runWithMesh, type BenchMesh } from './benchMesh.js';
import { toRounded, type BenchTable } from './report.js';
import { getStream, runLoad } from './runLoad.js';

const DEPTH = 15;
const LEVELS = DEPTH + 1;
const OPTIONS = { instances: 4, slots: 20, workMs: 10, queueLimit: 20 };
/** A level holds its slot during its own work and that of all levels below. */
const SLOT_MS_PER_CALL = (OPTIONS.workMs * LEVELS * (LEVELS + 1)) / 2;
const CAPACITY = (OPTIONS.instances * OPTIONS.slots * 1000) / SLOT_MS_PER_CALL;
/** A quarter of the capacity shows whole chains. */
const FACTORS = [0.25, 1, 2, 4];
const DEADLINE_MS = 2000;

async function readMetrics(host: MeshHost): Promise<string> {
  const answer = await request(`${host.operatorUrl}/metrics`);
  return answer.body.text();
}

/** Counts the calls that entered the mesh, nested ones included, and the retries. */
async function readNodes({ mesh }: BenchMesh) {
  const lines = (await Promise.all(mesh.hosts.map(readMetrics))).join('\n').split('\n');
  const sumOf = (name: string) =>
    lines
      .filter((line) => line.startsWith(`${name}{`))
      .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
  return { calls: sumOf('lycheelane_calls_total'), retries: sumOf('lycheelane_retries_total') };
}

async function readUpstreams({ mesh, workers }: BenchMesh) {
  const stats = await Promise.all(
    workers.map(({ instanceId }) => mesh.readUpstreamStats(instanceId)),
  );
  return {
    runs: stats.reduce((sum, one) => sum + one.runs, 0),
    arrived: stats.reduce((sum, one) => sum + one.arrived, 0),
  };
}

async function measureFactor(
  bench: BenchMesh,
  factor: number,
  seed: number,
  seconds: number,
): Promise<BenchTable['rows'][number]> {
  const stream = buildStream('deep', [bench.entry.callUrl], 'normal', 1, DEADLINE_MS);
  const headers = { ...stream.headers, 'x-call-depth': String(DEPTH) };
  const before = { ...(await readUpstreams(bench)), ...(await readNodes(bench)) };
  const ratePerSecond = CAPACITY * factor;
  const result = await runLoad({ seed, ratePerSecond, seconds, streams: [{ ...stream, headers }] });
  const after = { ...(await readUpstreams(bench)), ...(await readNodes(bench)) };
  const { sent, inTime } = getStream(result, 'deep');
  const perCall = (count: number) => toRounded(count / Math.max(1, sent));
  return {
    load: `${factor}x`,
    'caller calls': sent,
    'answered in time': inTime,
    'runs per caller call': perCall(after.runs - before.runs),
    'arrivals at upstreams per caller call': perCall(after.arrived - before.arrived),
    'first attempts per caller call': perCall(after.calls - before.calls),
    'retries per caller call': perCall(after.retries - before.retries),
  };
}

/** Measures runs and retries of chains of 16 levels. */
export async function measureDepth(seed: number, seconds: number): Promise<BenchTable> {
  const rows = await runWithMesh({ ...OPTIONS, seed }, async (bench) => {
    const measured: BenchTable['rows'][number][] = [];
    for (const factor of FACTORS) {
      measured.push(await measureFactor(bench, factor, seed + factor * 4, seconds));
    }
    return measured;
  });
  const notes = [
    `Without retries and failures a caller call makes ${LEVELS} first attempts and as many runs.`,
    `Capacity ${CAPACITY.toFixed(1)} caller calls/s. Deadline ${DEADLINE_MS} ms.`,
  ];
  return { title: 'Attempts at depth 15', rows, notes };
}
