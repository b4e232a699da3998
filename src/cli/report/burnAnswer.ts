/** Fields of the response to `GET /v1/burn` that the report prints. */
import type { BurnAlert, BurnCounts, BurnRates } from '../../plugins/burnRate.js';

/** Burn rates and alert of one objective. */
export interface ObjectiveBurn {
  readonly burn: BurnRates;
  readonly alert: BurnAlert;
}

/** Counts and burn rates of one route; the burn rates are absent without an `objective`. */
export interface BurnRoute {
  readonly route: string;
  readonly windows: Readonly<Record<number, BurnCounts>>;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly objective: Readonly<Record<string, number>> | null;
  readonly availability?: ObjectiveBurn;
  readonly latency?: ObjectiveBurn | null;
}

/** Burn rates of all routes with calls. */
export interface BurnAnswer {
  readonly version: number;
  readonly routes: readonly BurnRoute[];
}

/** An objective of a route with its name. */
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

/** Formats a finite number of the response, or `-` for any other value. */
export function formatNumber(value: unknown, digits: number): string {
  return typeof value === 'number' && Number.isFinite(value) ? value.toFixed(digits) : '-';
}
