/** Fault scenarios of a large mesh; each measures the time until all nodes have converged. */
import type { NodeId } from '../../src/types/ids.js';
import { advance, advanceUntilSettled } from './clock.js';
import { getRegion, getSite, type LargeMesh } from './largeMesh.js';
import type { MemoryNetwork } from './memoryNetwork.js';
import type { TestNode } from './nodes.js';

const STEP_MS = 100;
/** Coarser steps of the virtual clock, for long partitions. */
const LONG_STEP_MS = 500;
const CONVERGENCE_TIMEOUT_MS = 120_000;
/** Time from the end of a process to the start of its replacement. */
const RESTART_DELAY_MS = 1000;
/** Time for which a planned restart is announced as `leaving`. */
const LEAVING_MS = 1000;
/** Pause between the restarts of a rolling restart. */
const RESTART_PAUSE_MS = 1000;
const ROLLING_RESTART_MS = 60_000;
const OUTAGE_MS = 60_000;
const PARTITION_MS = 3_600_000;

const getNodeId = ({ members }: TestNode) => members.getSelf().nodeId as NodeId;

/** Returns true if all running nodes have the current record of each of the changed nodes. */
function hasCurrentRecords(mesh: LargeMesh, changed: readonly TestNode[]): boolean {
  return changed.every((about) => {
    const { nodeId, incarnation, sequence } = about.members.getSelf();
    return mesh.nodes.every(({ members }) => {
      const view = members.getMember(nodeId as NodeId);
      const { record, verdict } = view ?? {};
      return (
        record?.incarnation === incarnation && record.sequence === sequence && verdict === 'alive'
      );
    });
  });
}

function hasDeadVerdicts(mesh: LargeMesh, killed: readonly TestNode[]): boolean {
  return killed.every((about) =>
    mesh.nodes.every(({ members }) => members.getMember(getNodeId(about))?.verdict === 'dead'),
  );
}

/** Stops a process, announced if planned, and starts its replacement on the same host. */
async function replaceProcess(
  mesh: LargeMesh,
  node: TestNode,
  isPlanned: boolean,
): Promise<TestNode> {
  if (isPlanned) {
    node.members.updateSelf({ state: 'leaving' });
    await advance(LEAVING_MS, STEP_MS);
    node.members.updateSelf({ state: 'left' });
    await advance(STEP_MS, STEP_MS);
  }
  await mesh.kill(node);
  await advance(RESTART_DELAY_MS, STEP_MS);
  return advanceUntilSettled(mesh.restart(node));
}

function listSite(mesh: LargeMesh, site: number): TestNode[] {
  return mesh.nodes.filter(({ port }) => getSite(port) === site);
}

/** Returns `count` nodes of a data centre, relays first. */
function listRelaysFirst(mesh: LargeMesh, site: number, count: number): TestNode[] {
  const nodes = listSite(mesh, site);
  const isRelay = ({ members }: TestNode) => members.isRelay();
  return [...nodes.filter(isRelay), ...nodes.filter((node) => !isRelay(node))].slice(0, count);
}

/** Restarts one node in each data centre, one after the other, within `ROLLING_RESTART_MS`. */
export async function runRollingRestart(mesh: LargeMesh): Promise<void> {
  const endMs = Date.now() + ROLLING_RESTART_MS;
  const sites = [...new Set(mesh.nodes.map(({ port }) => getSite(port)))];
  for (const site of sites) {
    const [node] = listSite(mesh, site).filter(({ members }) => !members.isRelay());
    if (node) await replaceProcess(mesh, node, site % 2 === 0);
    await advance(RESTART_PAUSE_MS, STEP_MS);
  }
  await advance(Math.max(0, endMs - Date.now()), STEP_MS);
}

/** Measures the time from the moment a restarted process serves until all nodes have its record. */
export async function measureRestart(mesh: LargeMesh): Promise<number> {
  const restarted = await replaceProcess(mesh, listSite(mesh, 0).at(-1) as TestNode, false);
  return mesh.waitUntil(
    'restart',
    () => hasCurrentRecords(mesh, [restarted]),
    CONVERGENCE_TIMEOUT_MS,
  );
}

/** Kills a rack with both relays of its data centre; measures the time until all nodes know. */
export async function measureRackFailure(mesh: LargeMesh, size: number): Promise<number> {
  const killed = listRelaysFirst(mesh, 1, size);
  await Promise.all(killed.map(mesh.kill));
  return mesh.waitUntil(
    'rack failure',
    () => hasDeadVerdicts(mesh, killed),
    CONVERGENCE_TIMEOUT_MS,
  );
}

/**
 * Kills all processes of a data centre and restarts them after `OUTAGE_MS`; measures the time until
 * all relays report the failure, and the time until all nodes have the new records.
 */
export async function measureDataCentreFailure(mesh: LargeMesh) {
  const site = 2;
  const killed = listSite(mesh, site);
  await Promise.all(killed.map(mesh.kill));
  const isReported = ({ members }: TestNode) =>
    members.listDataCentres().some((view) => view.dataCentre === `dc-${site}` && !view.isReachable);
  const relays = mesh.nodes.filter(({ members }) => members.isRelay());
  const detectionMs = await mesh.waitUntil(
    'data centre failure',
    () => relays.every(isReported),
    CONVERGENCE_TIMEOUT_MS,
  );
  await advance(OUTAGE_MS, STEP_MS);
  const startMs = Date.now();
  const restarted = await advanceUntilSettled(Promise.all(killed.map(mesh.restart)));
  await mesh.waitUntil(
    'data centre recovery',
    () => hasCurrentRecords(mesh, restarted),
    CONVERGENCE_TIMEOUT_MS,
  );
  return { detectionMs, recoveryMs: Date.now() - startMs };
}

function setDelivery(
  { network }: LargeMesh,
  decideDelivery: MemoryNetwork['decideDelivery'],
): void {
  Object.assign(network, { decideDelivery });
}

/**
 * Partitions the regions for an hour, with a restart in two of them and a node that stays down;
 * measures the time from the end of the partition until all nodes have all records.
 */
export async function measureRegionPartition(mesh: LargeMesh): Promise<number> {
  setDelivery(mesh, ({ from, to }) =>
    getRegion(Number(from)) === getRegion(Number(to)) ? 'deliver' : 'lose',
  );
  const findLast = (region: number) =>
    mesh.nodes.filter(({ port }) => getRegion(port) === region).at(-1) as TestNode;
  await advance(PARTITION_MS / 2, LONG_STEP_MS);
  const killed = findLast(0);
  await mesh.kill(killed);
  const replaced = [
    await replaceProcess(mesh, findLast(0), false),
    await replaceProcess(mesh, findLast(1), false),
  ];
  await advance(PARTITION_MS / 2, LONG_STEP_MS);
  setDelivery(mesh, () => 'deliver');
  return mesh.waitUntil(
    'convergence after the partition',
    () => hasCurrentRecords(mesh, replaced) && hasDeadVerdicts(mesh, [killed]),
    CONVERGENCE_TIMEOUT_MS,
  );
}
