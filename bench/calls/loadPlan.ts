/** What a load process is asked to send and what it reports. */
import type { LatencySummary } from './statistics.js';

/** One kind of calls of a load. */
export interface LoadStream {
  readonly name: string;
  /** Share of the arrivals, relative to the other streams. */
  readonly weight: number;
  /** Addresses used in turn. */
  readonly urls: readonly string[];
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly deadlineMs: number;
}

/** A load with open-loop arrivals. */
export interface LoadPlan {
  readonly seed: number;
  /** Arrivals of all streams together. */
  readonly ratePerSecond: number;
  readonly seconds: number;
  /** Time at the start whose calls are sent and not counted; part of `seconds`. */
  readonly uncountedSeconds?: number;
  readonly streams: readonly LoadStream[];
}

/** Result of one stream. */
export interface StreamResult {
  readonly name: string;
  readonly sent: number;
  /** Responses of the upstream with status 200 within the deadline of their planned send. */
  readonly inTime: number;
  /** Calls by status and reason. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Answered calls, from the planned send to the end of the body. */
  readonly latency: LatencySummary;
}

/** Result of a load. */
export interface LoadResult {
  readonly streams: readonly StreamResult[];
  /** How late calls were sent. */
  readonly lateSends: LatencySummary;
}
