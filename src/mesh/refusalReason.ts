/** Classifies the reasons why a request was not run. */
import type { RefusalReason } from './model.js';

const REASONS: Readonly<Record<RefusalReason, true>> = {
  overloaded: true,
  limited: true,
  deadline: true,
  delayed: true,
  'clock-unknown': true,
  unauthorized: true,
  busy: true,
  leaving: true,
  'no-instance': true,
  unreachable: true,
  shed: true,
  mismatch: true,
  cancelled: true,
};

/** True for the reasons of this build; a node of a later build may know others. */
export function isRefusalReason(reason: unknown): reason is RefusalReason {
  return typeof reason === 'string' && Object.hasOwn(REASONS, reason);
}

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

/** Returns true when a request got no slot in time: at once, or after it had waited for one. */
export function isRoomRefusal(reason: string): boolean {
  return isCapacityRefusal(reason) || reason === 'deadline';
}

/** Returns true for refusals that mean that the instance is temporarily unavailable. */
export function isInstanceUnavailable(reason: RefusalReason): boolean {
  switch (reason) {
    case 'overloaded':
    case 'limited':
    case 'deadline':
    case 'delayed':
    case 'clock-unknown':
    case 'unauthorized':
    case 'busy':
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
