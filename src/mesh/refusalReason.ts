/** Classifies the reasons why a request was not run. */
import type { RefusalReason } from './model.js';

const CAPACITY_REFUSALS: ReadonlySet<string> = new Set<RefusalReason>([
  'overloaded',
  'limited',
  // The way to the host, or the host itself, takes so long that its instance seems idle.
  'delayed',
  'clock-unknown',
]);

/** Returns true for refusals that mean that the host has no room for the request now. */
export function isCapacityRefusal(reason: string): boolean {
  return CAPACITY_REFUSALS.has(reason);
}

/** Returns true for refusals that mean that the instance is temporarily unavailable. */
export function isInstanceUnavailable(reason: RefusalReason): boolean {
  switch (reason) {
    case 'overloaded':
    case 'limited':
    case 'deadline':
    case 'delayed':
    case 'clock-unknown':
    case 'cancelled':
      return false;
    case 'leaving':
    case 'no-instance':
    case 'unreachable':
    case 'shed':
    case 'mismatch':
      return true;
    default:
      throw new Error(`unknown reason ${JSON.stringify(reason satisfies never)}`);
  }
}
