/**
 * Program: runs nodes as processes on the platform's protocol under random faults, and checks what
 * their callers and instances see (`npm run soak:platform`).
 */
import { parseOptions } from '../../standins/options.js';
import { chooseOne, createRandom } from '../../standins/random.js';
import { sendHttp, wait } from '../../standins/mesh/meshFleet.js';
import { formatCounts } from '../violations.js';
import { CALM_MS, startCallers, type Disturbance } from './callers.js';
import { PlatformChecker, VIOLATIONS } from './checker.js';
import { FAULTS, stopNodeProcess, type Fault } from './faults.js';
import { SoakFleet } from './fleet.js';

const HOSTS = 8;
const MAX_FAULTS = 5;

/** Rounds between two with planned stops only. */
const PLANNED_EVERY = 4;

const SERVE_LIMIT_MS = 15_000;

const options = parseOptions({ minutes: '2', seed: '1' });
const random = createRandom(Number(options.seed));
const fleet = new SoakFleet();
const checker = new PlatformChecker();
const disturbance: Disturbance = {
  plannedRound: 0,
  storeAtMs: -Infinity,
  hostsAtMs: new Map(),
};
const parts = { fleet, checker, random };
const counts = new Map<string, number>();

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function recordFault(name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

async function runFault(fault: Fault): Promise<void> {
  await wait(random() * 1500);
  const host = chooseOne(fleet.hosts, random)!;
  const { name } = host.options;
  const mark = () => {
    if (fault.on === 'store') disturbance.storeAtMs = performance.now();
    disturbance.hostsAtMs.set(name, performance.now());
  };
  // A disturbed node may disturb those that call it, but not their configuration.
  const marks = setInterval(mark, 100);
  mark();
  recordFault(fault.name);
  await fault.run(parts, host);
  clearInterval(marks);
  mark();
}

/** Faults that overlap, and versions written meanwhile. */
async function runFaults(): Promise<void> {
  const drawn = 1 + Math.floor(random() * MAX_FAULTS);
  const running = Array.from({ length: drawn }, () => runFault(chooseOne(FAULTS, random)!));
  for (let versions = Math.floor(random() * 3); versions > 0; versions -= 1) {
    await wait(random() * 1000);
    fleet.writeNextVersion();
    recordFault('version');
  }
  await Promise.all(running);
}

/** Stops nodes in turn while nothing else happens. */
async function runPlanned(round: number): Promise<void> {
  await wait(CALM_MS + 1000);
  disturbance.plannedRound = round;
  const order = [...fleet.hosts].sort(() => random() - 0.5).slice(0, 3);
  for (const host of order) {
    recordFault('planned-stop');
    disturbance.hostsAtMs.set(host.options.name, performance.now());
    await stopNodeProcess(parts, host);
    disturbance.hostsAtMs.set(host.options.name, performance.now());
    await wait(1000);
  }
  disturbance.plannedRound = 0;
}

/** Waits until every host serves. */
async function checkServing(): Promise<void> {
  for (const { options: host, node } of fleet.hosts) {
    const endMs = performance.now() + SERVE_LIMIT_MS;
    let status = 0;
    while (status !== 200 && performance.now() < endMs) {
      const request = { path: '/read/', id: `end-${host.name}-${Math.round(endMs)}` };
      checker.recordSent({ id: request.id, isSafe: true, host: host.name });
      const response = await sendHttp(host.ports[0]!, request).catch(() => undefined);
      status = response?.status ?? 0;
      if (status !== 200) await wait(200);
    }
    if (status === 200) continue;
    const lastLine = node.getOutput().trimEnd().split('\n').at(-1);
    checker.add('host does not serve at the end', `${host.name}: ${status}, ${lastLine}`);
  }
}

async function main(): Promise<void> {
  const endMs = performance.now() + Number(options.minutes) * 60_000;
  await fleet.start(HOSTS);
  await checkServing();
  const callers = startCallers(fleet, checker, disturbance, random);
  let rounds = 0;
  while (performance.now() < endMs) {
    rounds += 1;
    if (rounds % PLANNED_EVERY === 0) await runPlanned(rounds);
    else await runFaults();
  }
  await wait(CALM_MS);
  await callers.stop();
  await checkServing();
  for (const { instance } of fleet.hosts) {
    for (const { requestId } of instance.runs) checker.recordRun(requestId);
  }
  checker.finish();
  await fleet.stop();
  print(`seed ${options.seed}, ${rounds} rounds, ${checker.countRuns()} runs`);
  print(`responses: ${formatCounts(checker.results)}`);
  print(`faults: ${formatCounts(counts)}`);
  print(checker.format(VIOLATIONS));
  print(checker.hasViolations() ? 'FAIL' : 'PASS');
  // Sockets that a fault left half open must not keep the program.
  process.exit(checker.hasViolations() ? 1 : 0);
}

await main();
