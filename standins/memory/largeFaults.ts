/** Faults of a large mesh, each with the time until all nodes know of it. */
import type { NodeId } from '../../src/types/ids.js';
import { advance, waitAdvancing } from './clock.js';
import { getRegion, getSite, type LargeMesh } from './largeMesh.js';
import type { MemoryNetwork } from './memoryNetwork.js';
import type { TestNode } from './nodes.js';

const STEP_MS = 100;
/** Steps of long waits, in which only the end matters. */
const LONG_STEP_MS = 500;
const LIMIT_MS = 120_000;
const HOUR_MS = 3_600_000;

const getNodeId = ({ members }: TestNode) => members.getSelf().nodeId as NodeId;

/** True when all running nodes hold the current record of each node of the list. */
function areKnown(mesh: LargeMesh, changed: readonly TestNode[]): boolean {
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

function areDead(mesh: LargeMesh, lost: readonly TestNode[]): boolean {
  return lost.every((about) =>
    mesh.nodes.every(({ members }) => members.getMember(getNodeId(about))?.verdict === 'dead'),
  );
}

/** Ends a process, announced or not, and starts another on its host one second later. */
async function replace(mesh: LargeMesh, node: TestNode, isPlanned: boolean): Promise<TestNode> {
  if (isPlanned) {
    node.members.updateSelf({ state: 'leaving' });
    await advance(1000, STEP_MS);
    node.members.updateSelf({ state: 'left' });
    await advance(STEP_MS, STEP_MS);
  }
  await mesh.kill(node);
  await advance(1000, STEP_MS);
  return waitAdvancing(mesh.restart(node));
}

function listSite(mesh: LargeMesh, site: number): TestNode[] {
  return mesh.nodes.filter(({ port }) => getSite(port) === site);
}

/** Returns `count` nodes of a data centre, its relays first. */
function listRelaysFirst(mesh: LargeMesh, site: number, count: number): TestNode[] {
  const nodes = listSite(mesh, site);
  const isRelay = ({ members }: TestNode) => members.isRelay();
  return [...nodes.filter(isRelay), ...nodes.filter((node) => !isRelay(node))].slice(0, count);
}

/** Restarts one node in each data centre, one after the other, within a minute. */
export async function runRestartMinute(mesh: LargeMesh): Promise<void> {
  const endMs = Date.now() + 60_000;
  const sites = [...new Set(mesh.nodes.map(({ port }) => getSite(port)))];
  for (const site of sites) {
    const [node] = listSite(mesh, site).filter(({ members }) => !members.isRelay());
    if (node) await replace(mesh, node, site % 2 === 0);
    await advance(1000, STEP_MS);
  }
  await advance(Math.max(0, endMs - Date.now()), STEP_MS);
}

/** A restart: time from the moment the process serves until all nodes hold its record. */
export async function measureRestart(mesh: LargeMesh): Promise<number> {
  const node = await replace(mesh, listSite(mesh, 0).at(-1) as TestNode, false);
  return mesh.waitUntil('restart', () => areKnown(mesh, [node]), LIMIT_MS);
}

/** A rack with both relays of its data centre: time until all nodes hold its members for dead. */
export async function measureRack(mesh: LargeMesh, size: number): Promise<number> {
  const lost = listRelaysFirst(mesh, 1, size);
  await Promise.all(lost.map(mesh.kill));
  return mesh.waitUntil('rack', () => areDead(mesh, lost), LIMIT_MS);
}

/** A data centre whose processes all end, and start again a minute later. */
export async function measureDataCentre(mesh: LargeMesh) {
  const site = 2;
  const lost = listSite(mesh, site);
  await Promise.all(lost.map(mesh.kill));
  const isReported = ({ members }: TestNode) =>
    members.listDataCentres().some((view) => view.dataCentre === `dc-${site}` && !view.isReachable);
  const relays = mesh.nodes.filter(({ members }) => members.isRelay());
  const lostMs = await mesh.waitUntil('loss', () => relays.every(isReported), LIMIT_MS);
  await advance(60_000, STEP_MS);
  const startMs = Date.now();
  const back = await waitAdvancing(Promise.all(lost.map(mesh.restart)));
  await mesh.waitUntil('return', () => areKnown(mesh, back), LIMIT_MS);
  return { lostMs, backMs: Date.now() - startMs };
}

function setDecision({ network }: LargeMesh, decide: MemoryNetwork['decide']): void {
  Object.assign(network, { decide });
}

/**
 * Regions cut from each other for an hour, with a restart in each and a node lost for good:
 * time from the heal until all nodes hold all records.
 */
export async function measureRegions(mesh: LargeMesh): Promise<number> {
  setDecision(mesh, ({ from, to }) =>
    getRegion(Number(from)) === getRegion(Number(to)) ? 'deliver' : 'lose',
  );
  const findLast = (region: number) =>
    mesh.nodes.filter(({ port }) => getRegion(port) === region).at(-1) as TestNode;
  await advance(HOUR_MS / 2, LONG_STEP_MS);
  const lost = findLast(0);
  await mesh.kill(lost);
  const replaced = [
    await replace(mesh, findLast(0), false),
    await replace(mesh, findLast(1), false),
  ];
  await advance(HOUR_MS / 2, LONG_STEP_MS);
  setDecision(mesh, () => 'deliver');
  return mesh.waitUntil('heal', () => areKnown(mesh, replaced) && areDead(mesh, [lost]), LIMIT_MS);
}
