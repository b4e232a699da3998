/** Program: sends calls under random faults and checks the invariants (`npm run soak`). */
import { waitMs } from '../src/utils/backoff.js';
import { applyFolder, copyExample } from '../standins/configFolder.js';
import { startMesh, type Mesh } from '../standins/launcher.js';
import { readNode } from '../standins/observe.js';
import { parseOptions } from '../standins/options.js';
import { createRandom } from '../standins/random.js';
import { STERNWACHT } from '../standins/sternwacht.js';
import { loadRuns } from '../standins/upstream/ledger.js';
import { startCallers, type PlannedStopPhase } from './callers.js';
import { SoakChecker, VIOLATIONS } from './checker.js';
import { createConfigChanger } from './configChanges.js';
import { createRounds } from './rounds.js';
import { formatCounts } from './violations.js';
import { createVersionReader, startNodeWatch } from './watchNodes.js';

const CONVERGENCE_LIMIT_MS = 15_000;
const POLL_INTERVAL_MS = 100;
const STOP_LIMIT_MS = 20_000;
const MS_PER_MINUTE = 60_000;

async function checkFinalVersions(mesh: Mesh, checker: SoakChecker): Promise<void> {
  const accepted = await createVersionReader(mesh).readHeadVersion();
  const endMs = performance.now() + CONVERGENCE_LIMIT_MS;
  for (const host of mesh.hosts) {
    let version = (await readNode(host))?.version ?? 0;
    while (version < accepted && performance.now() < endMs) {
      await waitMs(POLL_INTERVAL_MS);
      version = (await readNode(host))?.version ?? 0;
    }
    checker.recordFinalVersion(host.nodeId, version, accepted);
  }
}

async function runSoak(mesh: Mesh, minutes: number, seed: number): Promise<boolean> {
  const endMs = performance.now() + minutes * MS_PER_MINUTE;
  const checker = new SoakChecker();
  const plannedStopPhase: PlannedStopPhase = { round: 0, lastStoppedId: '' };
  const folder = await copyExample(mesh, 'sternwacht');
  await applyFolder(mesh, folder);
  await mesh.waitReady();
  const configChanger = createConfigChanger(mesh, folder, createRandom(seed + 1));
  const rounds = createRounds({
    mesh,
    checker,
    plannedStopPhase,
    configChanger,
    random: createRandom(seed + 2),
  });
  const watch = startNodeWatch(mesh, checker);
  const callers = startCallers(mesh, checker, plannedStopPhase, createRandom(seed + 3));
  let completedRounds = 0;
  let failure: unknown;
  try {
    while (performance.now() < endMs) {
      await rounds.runRound();
      completedRounds += 1;
      console.log(`round ${completedRounds}: ${formatCounts(rounds.counts)}`);
    }
    await rounds.finish();
  } catch (thrown) {
    failure = thrown;
  }
  await callers.stop();
  if (failure === undefined) await checkFinalVersions(mesh, checker);
  await watch.stop();
  await Promise.all(mesh.hosts.map((host) => mesh.kill(host.instanceId)));
  const runs = mesh.hosts.flatMap((host) => loadRuns(host.runLog));
  for (const run of runs) checker.recordRun(run.callId);

  const calls = [...callers.results.values()].reduce((sum, count) => sum + count, 0);
  console.log(`seed ${seed}, ${completedRounds} rounds, ${calls} calls, ${runs.length} runs`);
  console.log(`calls: ${formatCounts(callers.results)}`);
  console.log(`faults: ${formatCounts(rounds.counts)}`);
  console.log(`config changes by exit code: ${formatCounts(configChanger.countsByExitCode)}`);
  console.log(`samples: ${watch.counts.versions} versions, ${watch.counts.routes} routes`);
  console.log('violation and count');
  console.log(checker.format(VIOLATIONS));
  if (failure !== undefined) console.log(`the run ended early: ${String(failure)}`);
  return failure === undefined && !checker.hasViolations();
}

const options = parseOptions({ minutes: '5', seed: '1' });
const seed = Number(options.seed);
const mesh = await startMesh({
  ...STERNWACHT,
  seed,
  nodeSettings: { logLevel: 'warn', calls: { stopLimitMs: STOP_LIMIT_MS } },
});
try {
  process.exitCode = (await runSoak(mesh, Number(options.minutes), seed)) ? 0 : 1;
  console.log(process.exitCode === 0 ? 'PASS' : 'FAIL');
} finally {
  await mesh.stop();
}
