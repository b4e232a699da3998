/** How long a node or an upstream that leaves still gets new calls. */
import { waitMs } from '../../src/utils/backoff.js';
import type { MeshHost } from '../../standins/launcher.js';
import { waitForInstances } from '../../standins/observe.js';
import { loadRuns } from '../../standins/upstream/ledger.js';
import { buildStream, runWithMesh, type BenchMesh } from './benchMesh.js';
import { toRounded, type BenchTable } from './report.js';
import { getStream, runLoad } from './runLoad.js';
import { computeMedian } from './statistics.js';

const OPTIONS = { instances: 3, slots: 20, workMs: 10, queueLimit: 20 };
const RATE = 300;
const ROUNDS = 5;
const LEAD_MS = 2000;
const READY_LIMIT_MS = 20_000;

/** One stop under load. */
interface Stop {
  /** Time from the signal to the last run of the instance; 0 when none followed. */
  readonly lastRunMs: number;
  readonly runsAfter: number;
  readonly exitCode: number | null;
  /** Calls whose connection broke or whose outcome is unknown. */
  readonly cut: number;
  /** Calls refused with the certain outcome that they did not run. */
  readonly notRun: number;
  readonly sent: number;
}

async function measureStop(
  bench: BenchMesh,
  host: MeshHost,
  id: string,
  plan: { readonly seed: number; readonly seconds: number },
): Promise<Stop> {
  const load = runLoad({
    ...plan,
    ratePerSecond: RATE,
    streams: [buildStream('calls', [bench.entry.callUrl])],
  });
  await waitMs(LEAD_MS);
  const signalAtMs = Date.now();
  const exit = await bench.mesh.terminate(id);
  const { sent, outcomes } = getStream(await load, 'calls');
  const runs = loadRuns(host.runLog).filter((run) => run.atMs >= signalAtMs);
  const lastRunMs = runs.reduce((last, run) => Math.max(last, run.atMs - signalAtMs), 0);
  const countOf = (prefix: string) =>
    Object.entries(outcomes)
      .filter(([name]) => name.startsWith(prefix))
      .reduce((sum, [, count]) => sum + count, 0);
  const notRun = countOf('not-run');
  const cut = sent - notRun - countOf('200');
  return { lastRunMs, runsAfter: runs.length, exitCode: exit.code, cut, notRun, sent };
}

function buildRow(what: string, stops: readonly Stop[]): BenchTable['rows'][number] {
  const times = stops.map((stop) => stop.lastRunMs);
  const sum = (get: (stop: Stop) => number) => stops.reduce((total, stop) => total + get(stop), 0);
  return {
    what,
    stops: stops.length,
    'last new run ms, median': toRounded(computeMedian(times), 1),
    'last new run ms, highest': Math.max(...times),
    'runs after the signal': sum((stop) => stop.runsAfter),
    'calls sent': sum((stop) => stop.sent),
    'calls cut': sum((stop) => stop.cut),
    'calls answered not-run': sum((stop) => stop.notRun),
    'exit codes': [...new Set(stops.map((stop) => stop.exitCode))].join(' '),
  };
}

async function measureStops(bench: BenchMesh, kind: 'nodeId' | 'instanceId', seed: number) {
  const stops: Stop[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const host = bench.workers[round % bench.workers.length] as MeshHost;
    const plan = { seed: seed + round, seconds: LEAD_MS / 1000 + 3 };
    stops.push(await measureStop(bench, host, host[kind], plan));
    await bench.mesh.start(host[kind]);
    await bench.mesh.waitReady([host.nodeId]);
    if (kind === 'instanceId') {
      await bench.mesh.setBehaviour(host.instanceId, { latencyMs: OPTIONS.workMs });
    }
    await waitForInstances(bench.mesh, 'normal', READY_LIMIT_MS);
  }
  return stops;
}

/** Stops nodes and upstreams in turn under a constant load; the length of a run is fixed. */
export function measureLeaving(seed: number): Promise<BenchTable> {
  return runWithMesh({ ...OPTIONS, seed }, async (bench) => {
    const rows = [
      buildRow('node, from SIGTERM', await measureStops(bench, 'nodeId', seed)),
      buildRow('upstream, from SIGTERM', await measureStops(bench, 'instanceId', seed + ROUNDS)),
    ];
    const notes = [
      `${RATE} calls/s through a node that stays. An upstream announces \`leaving\` at SIGTERM.`,
    ];
    return { title: 'Leaving', rows, notes };
  });
}
