/** Counters of all nodes and of the platform at one moment, and their difference over a period. */
import { readFile } from 'node:fs/promises';
import { requestJson } from '../standins/launcher.js';
import type { PlatformStats } from '../standins/platform/counters.js';
import type { Fleet } from './fleet.js';

/** Totals of one message type over all nodes, by `<direction> <type>`. */
export type ControlTotals = Readonly<Record<string, { messages: number; bytes: number }>>;

/** Counters of one node. */
export interface NodeSample {
  readonly isRelay: boolean;
  readonly bytes: number;
  readonly cpuMs: number;
}

/** Counters at one moment; `control` is summed over the nodes. */
export interface Sample {
  readonly atMs: number;
  readonly nodes: readonly NodeSample[];
  readonly control: ControlTotals;
  readonly residentBytes: readonly number[];
  readonly platform: PlatformStats;
}

/** Rates over a period. Bytes count both directions; a message is counted at both of its ends. */
export interface Rates {
  readonly seconds: number;
  readonly bytesPerNodeSecond: number;
  readonly messagesPerNodeSecond: number;
  readonly byType: ControlTotals;
  readonly cpuPercentPerNode: number;
  /** Means over the nodes that are relays at the end of the period. */
  readonly relayBytesPerSecond: number;
  readonly relayCpuPercent: number;
  /** Largest value of one node. */
  readonly maxBytesPerSecond: number;
  readonly platformCallsPerSecond: number;
  readonly platformBytesPerNodeSecond: number;
}

/** Linux reports processor time in ticks of 10 ms. */
const TICK_MS = 10;

interface Status {
  readonly relay: boolean;
  readonly control: ControlTotals;
  readonly process: { readonly residentBytes: number };
}

/** Reads the processor time of a process from `/proc`, which costs the process nothing. */
async function readCpuMs(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may hold spaces; utime and stime are fields 14 and 15.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
}

/** Adds up counters of several nodes. */
export function mergeTotals(all: readonly ControlTotals[]): ControlTotals {
  const sums: Record<string, { messages: number; bytes: number }> = {};
  for (const totals of all) {
    for (const [type, { messages, bytes }] of Object.entries(totals)) {
      const sum = sums[type] ?? { messages: 0, bytes: 0 };
      sums[type] = { messages: sum.messages + messages, bytes: sum.bytes + bytes };
    }
  }
  return sums;
}

/** Sums the bytes and messages of the types that match. */
export function countTotals(totals: ControlTotals, pattern = /./) {
  const matching = Object.entries(totals).filter(([type]) => pattern.test(type));
  return {
    messages: matching.reduce((sum, [, total]) => sum + total.messages, 0),
    bytes: matching.reduce((sum, [, total]) => sum + total.bytes, 0),
  };
}

/** Reads the counters of all nodes. */
export async function collectSample({ mesh }: Fleet): Promise<Sample> {
  const atMs = performance.now();
  const pids = mesh.hosts.map(({ nodeId }) => mesh.getProcess(nodeId).pid ?? 0);
  const cpu = await Promise.all(pids.map(readCpuMs));
  const statuses = await Promise.all(
    mesh.hosts.map(({ operatorUrl }) => requestJson<Status>(`${operatorUrl}/v1/status`)),
  );
  return {
    atMs,
    nodes: statuses.map(({ relay, control }, index) => ({
      isRelay: relay,
      bytes: countTotals(control).bytes,
      cpuMs: cpu[index] as number,
    })),
    control: mergeTotals(statuses.map(({ control }) => control)),
    residentBytes: statuses.map((status) => status.process.residentBytes),
    platform: await mesh.readPlatformStats(),
  };
}

/** Returns what was counted between two samples; types without traffic are left out. */
export function diffTotals(before: ControlTotals, after: ControlTotals): ControlTotals {
  return Object.fromEntries(
    Object.entries(after)
      .map(([type, { messages, bytes }]) => {
        const earlier = before[type] ?? { messages: 0, bytes: 0 };
        return [
          type,
          { messages: messages - earlier.messages, bytes: bytes - earlier.bytes },
        ] as const;
      })
      .filter(([, { messages }]) => messages !== 0),
  );
}

/** Computes rates per node between two samples of the same processes. */
export function computeRates(before: Sample, after: Sample): Rates {
  const seconds = (after.atMs - before.atMs) / 1000;
  const perNodeSecond = seconds * after.nodes.length;
  const nodes = after.nodes.map(({ isRelay, bytes: total, cpuMs }, index) => ({
    isRelay,
    bytes: (total - (before.nodes[index]?.bytes ?? 0)) / seconds,
    cpuPercent: ((cpuMs - (before.nodes[index]?.cpuMs ?? 0)) / (seconds * 1000)) * 100,
  }));
  const relays = nodes.filter(({ isRelay }) => isRelay);
  const computeMean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  const difference = diffTotals(before.control, after.control);
  const { messages, bytes } = countTotals(difference);
  const countPlatform = ({ platform }: Sample) => platform.bytesIn + platform.bytesOut;
  return {
    seconds,
    bytesPerNodeSecond: bytes / perNodeSecond,
    messagesPerNodeSecond: messages / perNodeSecond,
    byType: Object.fromEntries(
      Object.entries(difference).map(([type, total]) => [
        type,
        { messages: total.messages / perNodeSecond, bytes: total.bytes / perNodeSecond },
      ]),
    ),
    cpuPercentPerNode: computeMean(nodes.map(({ cpuPercent }) => cpuPercent)),
    relayBytesPerSecond: computeMean(relays.map((node) => node.bytes)),
    relayCpuPercent: computeMean(relays.map(({ cpuPercent }) => cpuPercent)),
    maxBytesPerSecond: Math.max(...nodes.map((node) => node.bytes)),
    platformCallsPerSecond: (after.platform.total - before.platform.total) / seconds,
    platformBytesPerNodeSecond: (countPlatform(after) - countPlatform(before)) / perNodeSecond,
  };
}
