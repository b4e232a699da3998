/**
 * Program: runs node processes on the platform's protocol under random faults, and checks the
 * invariants from the view of callers and instances (`npm run soak:platform`).
 */
import { parseOptions } from '../../standins/options.js';
import { chooseOne, createRandom } from '../../standins/random.js';
import { sendHttp, wait } from '../../standins/mesh/meshFleet.js';
import { CALL_PORT_INDEX } from '../../standins/mesh/nodeProcess.js';
import { formatCounts } from '../violations.js';
import { RECOVERY_MS, startCallers, type FaultTimes } from './callers.js';
import { PlatformChecker, VIOLATIONS } from './checker.js';
import { FAULTS, stopNodeProcess, type Fault } from './faults.js';
import { SoakFleet } from './fleet.js';

const HOST_COUNT = 8;
const MAX_CONCURRENT_FAULTS = 5;

/** Every n-th round has planned stops as its only faults. */
const PLANNED_STOP_ROUND_INTERVAL = 4;

const SERVE_LIMIT_MS = 15_000;
const SERVE_POLL_INTERVAL_MS = 200;
const MAX_FAULT_DELAY_MS = 1500;
const FAULT_TIME_INTERVAL_MS = 100;

/** A round writes fewer versions than this. */
const VERSIONS_PER_ROUND_BOUND = 3;
const MAX_VERSION_INTERVAL_MS = 1000;

const PLANNED_STOPS_PER_ROUND = 3;
const PLANNED_STOP_INTERVAL_MS = 1000;

/** Time added to `RECOVERY_MS` before the first planned stop of a round. */
const RECOVERY_MARGIN_MS = 1000;
const MS_PER_MINUTE = 60_000;

const options = parseOptions({ minutes: '2', seed: '1' });
const random = createRandom(Number(options.seed));
const fleet = new SoakFleet();
const checker = new PlatformChecker();
const faultTimes: FaultTimes = {
  plannedStopRound: 0,
  lastStoreFaultAtMs: -Infinity,
  lastHostFaultAtMs: new Map(),
};
const faultContext = { fleet, checker, random };
const counts = new Map<string, number>();

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function countFault(name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

async function runFault(fault: Fault): Promise<void> {
  await wait(random() * MAX_FAULT_DELAY_MS);
  const host = chooseOne(fleet.hosts, random)!;
  const { name } = host.options;
  const recordFaultTime = () => {
    if (fault.target === 'store') faultTimes.lastStoreFaultAtMs = performance.now();
    faultTimes.lastHostFaultAtMs.set(name, performance.now());
  };
  // A faulty node may affect the calls of other hosts, but not their configuration.
  const faultTimer = setInterval(recordFaultTime, FAULT_TIME_INTERVAL_MS);
  recordFaultTime();
  countFault(fault.name);
  await fault.inject(faultContext, host);
  clearInterval(faultTimer);
  recordFaultTime();
}

/** Runs overlapping faults and writes configuration versions meanwhile. */
async function runFaults(): Promise<void> {
  const faultCount = 1 + Math.floor(random() * MAX_CONCURRENT_FAULTS);
  const running = Array.from({ length: faultCount }, () => runFault(chooseOne(FAULTS, random)!));
  for (
    let versions = Math.floor(random() * VERSIONS_PER_ROUND_BOUND);
    versions > 0;
    versions -= 1
  ) {
    await wait(random() * MAX_VERSION_INTERVAL_MS);
    fleet.writeNextVersion();
    countFault('version');
  }
  await Promise.all(running);
}

/** Stops nodes one after the other without any other fault. */
async function runPlannedStops(round: number): Promise<void> {
  await wait(RECOVERY_MS + RECOVERY_MARGIN_MS);
  faultTimes.plannedStopRound = round;
  const stoppedHosts = [...fleet.hosts]
    .sort(() => random() - 0.5)
    .slice(0, PLANNED_STOPS_PER_ROUND);
  for (const host of stoppedHosts) {
    countFault('planned-stop');
    faultTimes.lastHostFaultAtMs.set(host.options.name, performance.now());
    await stopNodeProcess(faultContext, host);
    faultTimes.lastHostFaultAtMs.set(host.options.name, performance.now());
    await wait(PLANNED_STOP_INTERVAL_MS);
  }
  faultTimes.plannedStopRound = 0;
}

/** Waits until every host serves requests and records those that do not within the limit. */
async function checkServing(): Promise<void> {
  for (const { options: host, node } of fleet.hosts) {
    const endMs = performance.now() + SERVE_LIMIT_MS;
    let status = 0;
    while (status !== 200 && performance.now() < endMs) {
      const request = { path: '/read/', id: `end-${host.name}-${Math.round(endMs)}` };
      checker.recordSent({ id: request.id, isSafe: true, host: host.name });
      const response = await sendHttp(host.ports[CALL_PORT_INDEX]!, request).catch(() => undefined);
      status = response?.status ?? 0;
      if (status !== 200) await wait(SERVE_POLL_INTERVAL_MS);
    }
    if (status === 200) continue;
    const lastLine = node.getOutput().trimEnd().split('\n').at(-1);
    checker.add('host does not serve at the end', `${host.name}: ${status}, ${lastLine}`);
  }
}

async function main(): Promise<void> {
  const endMs = performance.now() + Number(options.minutes) * MS_PER_MINUTE;
  await fleet.start(HOST_COUNT);
  await checkServing();
  const callers = startCallers(fleet, checker, faultTimes, random);
  let rounds = 0;
  while (performance.now() < endMs) {
    rounds += 1;
    if (rounds % PLANNED_STOP_ROUND_INTERVAL === 0) await runPlannedStops(rounds);
    else await runFaults();
  }
  await wait(RECOVERY_MS);
  await callers.stop();
  await checkServing();
  for (const { instance } of fleet.hosts) {
    for (const { requestId, atMs } of instance.runs) checker.recordRun(requestId, atMs);
  }
  checker.finish();
  await fleet.stop();
  print(`seed ${options.seed}, ${rounds} rounds, ${checker.countRuns()} runs`);
  print(`responses: ${formatCounts(checker.results)}`);
  print(`faults: ${formatCounts(counts)}`);
  print(checker.format(VIOLATIONS));
  print(checker.hasViolations() ? 'FAIL' : 'PASS');
  // Half-open sockets of injected faults would keep the process running.
  process.exit(checker.hasViolations() ? 1 : 0);
}

await main();
