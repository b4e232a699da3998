/** Program: runs the daemon on one host with the Sternwacht example (`npm run demo:daemon`). */
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { createCaller, type Caller } from '../standins/caller.js';
import { applyFolder, copyExample } from '../standins/configFolder.js';
import { startMesh, type Mesh } from '../standins/launcher.js';
import {
  computeControlBytes,
  measureConvergence,
  readNode,
  waitForInstances,
} from '../standins/observe.js';
import { STERNWACHT } from '../standins/sternwacht.js';
import { runBookings, runBrowsing, type LoadCounts } from './load.js';
import { DemoReport } from './report.js';

const CONTROL_MEASUREMENT_MS = 5_000;
const CONVERGENCE_LIMIT_MS = 10_000;
/** Data centres that start at the same time can take up to 18 s to discover each other. */
const DISCOVERY_LIMIT_MS = 30_000;
const BROWSING_CALL_COUNT = 200;
const BOOKING_COUNT = 20;
const MS_PER_SECOND = 1000;

function requireWhole(counts: LoadCounts): LoadCounts {
  if (counts.sent === 0 || counts.whole !== counts.sent) {
    throw new Error(`${counts.whole} of ${counts.sent} whole: ${JSON.stringify(counts.other)}`);
  }
  return counts;
}

/** Sends browsing calls during a step and requires all of them to succeed. */
async function sendCallsDuring(
  mesh: Mesh,
  caller: Caller,
  excludedNodeId: string,
  step: () => Promise<void>,
): Promise<LoadCounts> {
  let isOver = false;
  const entries = mesh.hosts.filter((host) => host.nodeId !== excludedNodeId);
  const browsing = runBrowsing(caller, entries, () => isOver);
  try {
    await step();
  } finally {
    isOver = true;
  }
  return requireWhole(await browsing);
}

async function changeOverlay(mesh: Mesh, folder: string): Promise<string> {
  const path = join(folder, 'overlays', 'bavaria-south-c.jsonc');
  const text = await readFile(path, 'utf8');
  const changed = text.replace('"timeoutMs": 6000', '"timeoutMs": 6500');
  if (changed === text) throw new Error(`nothing to edit in ${path}`);
  await writeFile(path, changed);
  const node = mesh.hosts[0]?.operatorUrl ?? '';
  const [{ acceptedMs, inForceMs }] = await Promise.all([
    measureConvergence(mesh, 2, CONVERGENCE_LIMIT_MS),
    applyFolder(mesh, folder, '--node', node, '--wait'),
  ]);
  const tookMs = Math.round(inForceMs - acceptedMs);
  return `in force on ${mesh.hosts.length} nodes ${tookMs} ms after acceptance`;
}

/** Measures the control bytes per second and node while calls are sent. */
async function measureControlTraffic(mesh: Mesh, caller: Caller): Promise<string> {
  const readAll = () =>
    Promise.all(mesh.hosts.map(async (host) => computeControlBytes((await readNode(host))!)));
  const before = await readAll();
  const startedMs = performance.now();
  const isDone = () => performance.now() - startedMs > CONTROL_MEASUREMENT_MS;
  const counts = requireWhole(await runBrowsing(caller, mesh.hosts, isDone));
  const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
  const after = await readAll();
  const rates = after.map((bytes, index) => Math.round((bytes - (before[index] ?? 0)) / seconds));
  const mean = Math.round(rates.reduce((sum, rate) => sum + rate, 0) / rates.length);
  const calls = Math.round(counts.sent / seconds);
  const highest = Math.max(...rates);
  return `control bytes per node and second: mean ${mean}, highest ${highest} (${calls} calls/s)`;
}

async function runDemo(report: DemoReport, mesh: Mesh, caller: Caller): Promise<void> {
  const folder = await copyExample(mesh, 'sternwacht');
  await report.runStep('accept the example configuration', async () => {
    await applyFolder(mesh, folder);
    await mesh.waitReady();
    for (const route of ['pad-availability', 'pad-booking']) {
      await waitForInstances(mesh, route, DISCOVERY_LIMIT_MS);
    }
  });
  await report.runStep(`${BROWSING_CALL_COUNT} browsing calls through every node`, async () =>
    requireWhole(await runBrowsing(caller, mesh.hosts, (sent) => sent >= BROWSING_CALL_COUNT)),
  );
  await report.runStep(`${BOOKING_COUNT} bookings run once each`, async () => {
    const runs = await runBookings(mesh, caller, BOOKING_COUNT);
    if (runs.some((count) => count !== 1)) throw new Error(`runs: ${runs.join(' ')}`);
  });
  report.printDetail(
    await report.runStep('overlay edit with --wait', () => changeOverlay(mesh, folder)),
  );
  report.printDetail(
    await report.runStep('control traffic under calls', () => measureControlTraffic(mesh, caller)),
  );
  const [restarted, other] = mesh.hosts.map((host) => host.nodeId) as [string, string];
  const restartCounts = await report.runStep(`graceful restart of ${restarted} under calls`, () =>
    sendCallsDuring(mesh, caller, restarted, async () => {
      const { code } = await mesh.terminate(restarted);
      if (code !== 0) throw new Error(`${restarted} exited with ${code}`);
      await mesh.start(restarted);
      await mesh.waitReady([restarted]);
    }),
  );
  report.printDetail(`${restartCounts.sent} calls through the other nodes, all answered`);
  const outageCounts = await report.runStep('platform down: serving, and a node restarts', () =>
    sendCallsDuring(mesh, caller, other, async () => {
      await mesh.setPlatformFaults({ down: true });
      await mesh.restart(other);
      await mesh.waitReady([other]);
    }),
  );
  report.printDetail(`${outageCounts.sent} calls during the outage, all answered`);
  const view = await readNode(mesh.hosts[1]!);
  report.printDetail(`${other} came back with version ${view?.version} from its peers`);
  if (view?.version !== 2) throw new Error(`${other} has version ${view?.version}`);
}

const report = new DemoReport();
const caller = createCaller();
let mesh: Mesh | undefined;
try {
  mesh = await report.runStep('start platform, 11 nodes and 11 upstreams', () =>
    startMesh(STERNWACHT),
  );
  await runDemo(report, mesh, caller);
} catch (thrown) {
  report.recordFailure(thrown);
} finally {
  await caller.close();
  await mesh?.stop();
}
process.exitCode = report.finish();
