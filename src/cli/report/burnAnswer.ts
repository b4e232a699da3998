/** The answer of `GET /v1/burn`, as far as the report prints it. */
import type { BurnAlert, BurnCounts, BurnRates } from '../../plugins/burnRate.js';

/** Burn of one objective. */
export interface ObjectiveBurn {
  readonly burn: BurnRates;
  readonly alert: BurnAlert;
}

/** One route with its calls; the objectives are absent without `objective`. */
export interface BurnRoute {
  readonly route: string;
  readonly windows: Readonly<Record<number, BurnCounts>>;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly objective: Readonly<Record<string, number>> | null;
  readonly availability?: ObjectiveBurn;
  readonly latency?: ObjectiveBurn | null;
}

/** Burn of all routes that were called. */
export interface BurnAnswer {
  readonly version: number;
  readonly routes: readonly BurnRoute[];
}

/** One objective of a route, by name. */
export interface NamedObjective {
  readonly name: 'availability' | 'latency';
  readonly burn: ObjectiveBurn;
}

/** Lists the objectives that a route has. */
export function listObjectives({ objective, availability, latency }: BurnRoute): NamedObjective[] {
  const named: NamedObjective[] = [];
  if (objective === null) return named;
  if (availability) named.push({ name: 'availability', burn: availability });
  if (latency) named.push({ name: 'latency', burn: latency });
  return named;
}

/** Formats a number of the answer; a dash for anything else. */
export function formatNumber(value: unknown, digits: number): string {
  return typeof value === 'number' && Number.isFinite(value) ? value.toFixed(digits) : '-';
}
