/** Load of the demo: browsing calls and bookings. */
import { randomUUID } from 'node:crypto';
import type { Caller, CallResult } from '../standins/caller.js';
import type { Mesh, MeshHost } from '../standins/launcher.js';
import { STERNWACHT_CALLS } from '../standins/sternwacht.js';
import { loadRuns } from '../standins/upstream/ledger.js';

/** Number of calls by result. */
export interface LoadCounts {
  readonly sent: number;
  /** Complete answers with status 200. */
  readonly whole: number;
  /** All other results, by kind and reason. */
  readonly other: Readonly<Record<string, number>>;
}

const WORKER_COUNT = 16;
const ANSWER_LENGTH = 2000;

function isWhole(result: CallResult): boolean {
  return result.kind === 'answered' && result.status === 200 && result.check === 'whole';
}

function countResults(results: readonly CallResult[]): LoadCounts {
  const other: Record<string, number> = {};
  const failed = results.filter((result) => !isWhole(result));
  for (const result of failed) {
    const detail = result.kind === 'answered' ? `${result.status} ${result.check}` : result.reason;
    const name = `${result.kind} ${detail}`;
    other[name] = (other[name] ?? 0) + 1;
  }
  return { sent: results.length, whole: results.length - failed.length, other };
}

/** Sends browsing calls through the entry hosts in turn until `isDone` returns true. */
export async function runBrowsing(
  caller: Caller,
  entries: readonly MeshHost[],
  isDone: (sent: number) => boolean,
): Promise<LoadCounts> {
  const results: CallResult[] = [];
  let started = 0;
  const runWorker = async () => {
    while (!isDone(started)) {
      const entryHost = entries[started % entries.length];
      if (entryHost === undefined) return;
      started += 1;
      const call = started % 2 === 0 ? STERNWACHT_CALLS.calendar : STERNWACHT_CALLS.pads;
      const callId = randomUUID();
      results.push(
        await caller.send({ ...call, callId, entryUrl: entryHost.callUrl, length: ANSWER_LENGTH }),
      );
    }
  };
  await Promise.all(Array.from({ length: WORKER_COUNT }, runWorker));
  return countResults(results);
}

/** Sends bookings through the nodes in turn and returns how often each booking ran. */
export async function runBookings(mesh: Mesh, caller: Caller, count: number): Promise<number[]> {
  const call = STERNWACHT_CALLS.booking;
  const bookings: string[] = [];
  for (let booking = 0; booking < count; booking += 1) {
    const entry = mesh.hosts[booking % mesh.hosts.length] as MeshHost;
    const callId = randomUUID();
    const result = await caller.send({ ...call, callId, entryUrl: entry.callUrl });
    if (!isWhole(result)) throw new Error(`booking: ${JSON.stringify(result)}`);
    bookings.push(callId);
  }
  const runs = mesh.hosts.flatMap((host) => loadRuns(host.runLog));
  return bookings.map((id) => runs.filter(({ callId }) => callId === id).length);
}
