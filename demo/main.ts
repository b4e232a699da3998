/** Program: shows the system on one machine with the Sternwacht example (`npm run demo`). */
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

const CONTROL_PERIOD_MS = 5_000;
const CONVERGENCE_LIMIT_MS = 10_000;
/** Data centres that start at the same moment have taken up to 18 s to know each other. */
const MEMBERS_LIMIT_MS = 30_000;

function requireWhole(counts: LoadCounts): LoadCounts {
  if (counts.sent === 0 || counts.whole !== counts.sent) {
    throw new Error(`${counts.whole} of ${counts.sent} whole: ${JSON.stringify(counts.other)}`);
  }
  return counts;
}

/** Runs browsing calls while a step is under way and requires all of them to be answered. */
async function browseDuring(
  mesh: Mesh,
  caller: Caller,
  without: string,
  step: () => Promise<void>,
): Promise<LoadCounts> {
  let isOver = false;
  const entries = mesh.hosts.filter((host) => host.nodeId !== without);
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

/** Returns the control bytes per second of each node over a period with calls. */
async function measureControl(mesh: Mesh, caller: Caller): Promise<string> {
  const readAll = () =>
    Promise.all(mesh.hosts.map(async (host) => computeControlBytes((await readNode(host))!)));
  const before = await readAll();
  const startedMs = performance.now();
  const isDone = () => performance.now() - startedMs > CONTROL_PERIOD_MS;
  const counts = requireWhole(await runBrowsing(caller, mesh.hosts, isDone));
  const seconds = (performance.now() - startedMs) / 1000;
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
      await waitForInstances(mesh, route, MEMBERS_LIMIT_MS);
    }
  });
  await report.runStep('200 browsing calls through every node', async () =>
    requireWhole(await runBrowsing(caller, mesh.hosts, (sent) => sent >= 200)),
  );
  await report.runStep('20 bookings run once each', async () => {
    const runs = await runBookings(mesh, caller, 20);
    if (runs.some((count) => count !== 1)) throw new Error(`runs: ${runs.join(' ')}`);
  });
  report.printDetail(
    await report.runStep('overlay edit with --wait', () => changeOverlay(mesh, folder)),
  );
  report.printDetail(
    await report.runStep('control traffic under calls', () => measureControl(mesh, caller)),
  );
  const [restarted, other] = mesh.hosts.map((host) => host.nodeId) as [string, string];
  const during = await report.runStep(`graceful restart of ${restarted} under calls`, () =>
    browseDuring(mesh, caller, restarted, async () => {
      const { code } = await mesh.terminate(restarted);
      if (code !== 0) throw new Error(`${restarted} exited with ${code}`);
      await mesh.start(restarted);
      await mesh.waitReady([restarted]);
    }),
  );
  report.printDetail(`${during.sent} calls through the other nodes, all answered`);
  const outage = await report.runStep('platform down: serving, and a node restarts', () =>
    browseDuring(mesh, caller, other, async () => {
      await mesh.setPlatformFaults({ down: true });
      await mesh.restart(other);
      await mesh.waitReady([other]);
    }),
  );
  report.printDetail(`${outage.sent} calls during the outage, all answered`);
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
