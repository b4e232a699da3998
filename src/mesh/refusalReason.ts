/** Classifies the reasons why a request was not run. */
import type { RefusalReason } from './model.js';

/** Returns true for refusals that mean that the instance has no room for the request now. */
export function isCapacityRefusal(reason: string): boolean {
  return reason === 'overloaded' || reason === 'limited';
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
