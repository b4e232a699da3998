/** Requests in the queue of an instance. */
import type { AccountShare } from './model.js';

/** Properties of a request that admission control uses. Instants and times are in milliseconds. */
export interface AdmissionItem {
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Expected run time on this instance. */
  readonly expectedRunMs: number;
  /** Class of the run time, the same for all requests of a route; by default that of the time. */
  readonly runClass?: number | undefined;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Account among which the room of a priority is shared; undefined without one. */
  readonly account?: AccountShare | undefined;
}

/** A queued request with its place in the order of `compareEntries`. */
export interface QueueEntry<Item extends AdmissionItem> {
  readonly item: Item;
  /** Group of the request; a lower number starts first. */
  readonly group: number;
  /** True when the request is expected to miss its latency objective. */
  isLate: boolean;
  /** Position in the order of arrival. */
  readonly arrivalIndex: number;
  /** Instant after which the request is rejected if it is late. */
  readonly lateExpiryAtMs: number;
}

/** Sorts requests that can meet their objective first, then by group, then by arrival. */
export function compareEntries(a: QueueEntry<AdmissionItem>, b: QueueEntry<AdmissionItem>): number {
  return (
    Number(a.isLate) - Number(b.isLate) || a.group - b.group || a.arrivalIndex - b.arrivalIndex
  );
}
