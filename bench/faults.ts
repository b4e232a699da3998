/** Recovery of a fleet from a mass restart, a platform outage and a cut-off data centre. */
import { waitMs } from '../src/utils/backoff.js';
import type { Fleet } from './fleet.js';
import { collectSample, countTotals } from './sample.js';
import { computeSummary, type Summary } from './statistics.js';

/** Half of the nodes killed and started again at once. */
export interface HerdResult {
  readonly restarted: number;
  /** From the moment the first process was started until `/healthz` of all restarted is good. */
  readonly readyMs: number;
  readonly platformCalls: number;
  readonly platformBytes: number;
  /** Bytes sent and received by the restarted nodes until all were ready, per restarted node. */
  readonly bytesPerRestartedNode: number;
}

/** A platform outage with a change accepted just before it. */
export interface OutageResult {
  readonly outageMs: number;
  /** Nodes that enforced the change before the platform was back. */
  readonly inForceDuringOutage: number;
  readonly nodes: number;
  /** Milliseconds from acceptance, for all nodes. */
  readonly enforcedMs: Summary;
  /** Calls that the platform turned away while it was down. */
  readonly refusedCalls: number;
  /** Enforcement of a change accepted right after the end of the outage. */
  readonly afterOutageMs: Summary;
}

/** A data centre cut off from the others and the platform, with a change during the cut. */
export interface CutResult {
  readonly cutMs: number;
  readonly othersMs: Summary;
  /** Milliseconds from the heal until each cut-off node enforces the change. */
  readonly afterHealMs: Summary;
}

const RECOVERY_LIMIT_MS = 90_000;
const HERD_SETTLE_MS = 3000;

/** Kills half of the nodes and starts them again at once. */
export async function measureHerd(fleet: Fleet): Promise<HerdResult> {
  const { mesh } = fleet;
  const restarted = mesh.hosts.filter((_, index) => index % 2 === 0).map(({ nodeId }) => nodeId);
  await waitMs(HERD_SETTLE_MS);
  const before = await mesh.readPlatformStats();
  await Promise.all(restarted.map((nodeId) => mesh.kill(nodeId)));
  const startMs = performance.now();
  await Promise.all(restarted.map((nodeId) => mesh.start(nodeId)));
  await mesh.waitReady(restarted, RECOVERY_LIMIT_MS);
  const readyMs = performance.now() - startMs;
  const after = await mesh.readPlatformStats();
  const hosts = mesh.hosts.filter(({ nodeId }) => restarted.includes(nodeId));
  const sample = await collectSample({ ...fleet, mesh: { ...mesh, hosts } });
  return {
    restarted: restarted.length,
    readyMs,
    platformCalls: after.total - before.total,
    platformBytes: after.bytesIn + after.bytesOut - before.bytesIn - before.bytesOut,
    bytesPerRestartedNode: countTotals(sample.control).bytes / restarted.length,
  };
}

/** Takes the platform down right after a change was accepted. */
export async function measureOutage(fleet: Fleet, outageMs: number): Promise<OutageResult> {
  const { mesh, publisher } = fleet;
  const before = await mesh.readPlatformStats();
  const accepted = await publisher.publish();
  await mesh.setPlatformFaults({ down: true });
  await waitMs(outageMs);
  await mesh.setPlatformFaults({ down: false });
  const backMs = Date.now() - accepted.atMs;
  const { refused } = await mesh.readPlatformStats();
  const enforced = await fleet.waitInForce(accepted, RECOVERY_LIMIT_MS);
  const next = await publisher.publish();
  const afterOutage = await fleet.waitInForce(next, RECOVERY_LIMIT_MS);
  return {
    outageMs,
    inForceDuringOutage: enforced.filter((latencyMs) => latencyMs < backMs).length,
    nodes: enforced.length,
    enforcedMs: computeSummary(enforced),
    refusedCalls: refused - before.refused,
    afterOutageMs: computeSummary(afterOutage),
  };
}

/** Cuts the last data centre off, changes the configuration and heals the cut. */
export async function measureCut(fleet: Fleet, cutMs: number): Promise<CutResult> {
  const { mesh, publisher } = fleet;
  const names = mesh.topology.dataCentres.map(({ name }) => name);
  const cutOff = names.at(-1) as string;
  const pairs = [...names.slice(0, -1), 'platform'].map((name) => [name, cutOff] as const);
  await mesh.setCuts(pairs);
  const startMs = Date.now();
  await waitMs(cutMs / 2);
  const accepted = await publisher.publish();
  const isCutOff = (host: (typeof mesh.hosts)[number]) => host.dataCentre.name === cutOff;
  const others = mesh.hosts.filter((host) => !isCutOff(host));
  const othersMs = await fleet.waitInForce(accepted, RECOVERY_LIMIT_MS, others);
  await waitMs(Math.max(0, cutMs - (Date.now() - startMs)));
  await mesh.setCuts([]);
  const healed = { ...accepted, atMs: Date.now() };
  const afterHeal = await fleet.waitInForce(healed, RECOVERY_LIMIT_MS, mesh.hosts.filter(isCutOff));
  return {
    cutMs: healed.atMs - startMs,
    othersMs: computeSummary(othersMs),
    afterHealMs: computeSummary(afterHeal),
  };
}
