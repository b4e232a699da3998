/**
 * Program: control bytes and recovery times of the membership at the design size, on the memory
 * network and a mocked clock. Milliseconds are those of the mocked clock; the network has no delay.
 */
import { parseArgs } from 'node:util';
import { advance, startClock, stopClock } from '../../standins/memory/clock.js';
import {
  measureDataCentreFailure,
  measureRackFailure,
  measureRegionPartition,
  measureRestart,
  runRollingRestart,
} from '../../standins/memory/largeFaults.js';
import {
  startLargeMesh,
  startTrafficMeasurement,
  type LargeMesh,
} from '../../standins/memory/largeMesh.js';
import { renderTraffic } from './traffic.js';

const SCENARIOS = ['quiet', 'restarts', 'restart', 'rack', 'data-centre', 'regions'] as const;
type Scenario = (typeof SCENARIOS)[number];

const USAGE = `usage: npm run bench:membership -- [${SCENARIOS.join('|')}|all]... [options]
  --data-centres 10 --nodes 54   data centres and nodes in each
  --settle-ms 60000              quiet time before the first scenario`;

const RACK_NODES = 10;
const MINUTE_MS = 60_000;

async function runScenario(scenario: Scenario, mesh: LargeMesh): Promise<string> {
  const traffic = startTrafficMeasurement(mesh.nodes);
  switch (scenario) {
    case 'quiet':
      await advance(MINUTE_MS, 100);
      return renderTraffic(mesh, traffic, MINUTE_MS / 1000);
    case 'restarts': {
      const startMs = Date.now();
      await runRollingRestart(mesh);
      return renderTraffic(mesh, traffic, (Date.now() - startMs) / 1000);
    }
    case 'restart':
      return `all nodes know after ${await measureRestart(mesh)} ms`;
    case 'rack':
      return `all nodes know after ${await measureRackFailure(mesh, RACK_NODES)} ms`;
    case 'data-centre': {
      const { detectionMs, recoveryMs } = await measureDataCentreFailure(mesh);
      const detection = `relays report it after ${detectionMs} ms`;
      return `${detection}; back at all nodes ${recoveryMs} ms after its start`;
    }
    case 'regions':
      return `all nodes agree ${await measureRegionPartition(mesh)} ms after the heal`;
    default:
      return scenario satisfies never;
  }
}

async function main(): Promise<void> {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      'data-centres': { type: 'string', default: '10' },
      nodes: { type: 'string', default: '54' },
      'settle-ms': { type: 'string', default: '60000' },
    },
  });
  const chosen = SCENARIOS.filter(
    (name) => positionals.includes(name) || positionals.includes('all'),
  );
  if (chosen.length === 0) {
    console.error(USAGE);
    process.exitCode = 2;
    return;
  }
  startClock();
  const mesh = await startLargeMesh(Number(values['data-centres']), Number(values.nodes));
  await advance(Number(values['settle-ms']), 100);
  for (const scenario of chosen) {
    console.log(`## ${scenario}\n\n${await runScenario(scenario, mesh)}\n`);
    await advance(MINUTE_MS, 100);
  }
  await mesh.stop();
  stopClock();
}

await main();
