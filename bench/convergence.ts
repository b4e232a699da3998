/** Convergence time and control cost of one fleet. */
import { waitMs } from '../src/utils/backoff.js';
import type { Fleet } from './fleet.js';
import { collectSample, computeRates, countTotals, diffTotals, type Rates } from './sample.js';
import { computeSummary, type Summary } from './statistics.js';

/** How long and how often a fleet is measured. */
export interface ConvergenceOptions {
  readonly changes: number;
  readonly quietMs: number;
  /** Time for membership to become quiet after the start. */
  readonly settleMs: number;
}

/** Figures of one fleet. */
export interface ConvergenceResult {
  readonly nodes: number;
  readonly relays: number;
  readonly quiet: Rates;
  /** Milliseconds from the answer to the head write to enforcement, over nodes and changes. */
  readonly enforcedMs: Summary;
  /** Milliseconds until the last node of a change, over changes. */
  readonly lastNodeMs: Summary;
  /** Bytes of `config.*` messages per node and change, both directions. */
  readonly changeBytesPerNode: number;
  readonly changeMessagesPerNode: number;
  /** Processor time of a node for one change above that of the quiet period, in milliseconds. */
  readonly changeCpuMsPerNode: number;
  readonly platformCallsPerChange: number;
  readonly residentMb: Summary;
}

/** Limit for one change; a slower one is a failure of the run. */
const CHANGE_LIMIT_MS = 30_000;
/** Shortest and additional random time between two changes. */
const CHANGE_GAP_MS = 300;
const CHANGE_JITTER_MS = 500;
const CALLS_PER_PUBLISH = 2;
const MEBIBYTE = 1024 * 1024;

/** Measures a quiet period and then a series of changes. */
export async function measureConvergence(
  fleet: Fleet,
  options: ConvergenceOptions,
): Promise<ConvergenceResult> {
  await waitMs(options.settleMs);
  const start = await collectSample(fleet);
  await waitMs(options.quietMs);
  const before = await collectSample(fleet);
  const quiet = computeRates(start, before);
  const all: number[] = [];
  const last: number[] = [];
  for (let change = 0; change < options.changes; change += 1) {
    const accepted = await fleet.publisher.publish();
    const latencies = await fleet.waitInForce(accepted, CHANGE_LIMIT_MS);
    all.push(...latencies);
    last.push(Math.max(...latencies));
    await waitMs(CHANGE_GAP_MS + fleet.random() * CHANGE_JITTER_MS);
  }
  const after = await collectSample(fleet);
  const { bytes, messages } = countTotals(diffTotals(before.control, after.control), /config\./);
  const seconds = (after.atMs - before.atMs) / 1000;
  const calls = after.platform.total - before.platform.total;
  const changing = computeRates(before, after);
  const perChange = options.changes * after.nodes.length;
  return {
    nodes: after.nodes.length,
    relays: after.nodes.filter(({ isRelay }) => isRelay).length,
    quiet,
    enforcedMs: computeSummary(all),
    lastNodeMs: computeSummary(last),
    changeBytesPerNode: bytes / perChange,
    changeMessagesPerNode: messages / perChange,
    changeCpuMsPerNode:
      ((changing.cpuPercentPerNode - quiet.cpuPercentPerNode) / 100 / options.changes) *
      changing.seconds *
      1000,
    platformCallsPerChange:
      (calls - quiet.platformCallsPerSecond * seconds) / options.changes - CALLS_PER_PUBLISH,
    residentMb: computeSummary(after.residentBytes.map((size) => size / MEBIBYTE)),
  };
}
