/** Guards for values from outside the process: bounds that the rest of the code relies on. */
import { isIP } from 'node:net';
import type { PeerAddress } from '../types/interfaces.js';

/** Longest duration, in milliseconds; sums of two still fit the 31 bits of a timer. */
export const MAX_DURATION_MS = 2 ** 30 - 1;

/** Maximum number of requests that an instance processes concurrently. */
export const MAX_SLOTS = 100_000;

/** Highest bandwidth of a link, in Mbit/s. */
export const MAX_LINK_MBPS = 10_000_000;

const MAX_PORT = 65_535;

const MAX_NAME_LENGTH = 512;

/** Tolerance for clocks that are set wrongly; a start time beyond it was not read from a clock. */
const MAX_CLOCK_OFFSET_MS = 365 * 24 * 60 * 60 * 1000;

const HEADER_TEXT = /^[\x21-\x7e]+$/;

const LONE_SURROGATE = /\p{Surrogate}/u;

/** True for a finite number from 0 to `max`. */
export function isAmount(value: unknown, max = Number.MAX_SAFE_INTEGER): value is number {
  return typeof value === 'number' && value >= 0 && value <= max;
}

/** True for a whole number from 0 to `max`. */
export function isCount(value: unknown, max = Number.MAX_SAFE_INTEGER): value is number {
  return Number.isSafeInteger(value) && isAmount(value, max);
}

export function isPort(value: unknown): value is number {
  return isCount(value, MAX_PORT);
}

/** True for an IP address with a port that can be connected to; a host name is not accepted. */
export function isIpAddress(value: unknown): value is PeerAddress {
  const { host, port } = (value ?? {}) as Partial<PeerAddress>;
  return typeof host === 'string' && isIP(host) !== 0 && isPort(port) && port > 0;
}

/** True for a non-empty text that can be part of a URL: without lone surrogates. */
export function isName(value: unknown): value is string {
  if (typeof value !== 'string' || value === '') return false;
  return value.length <= MAX_NAME_LENGTH && !LONE_SURROGATE.test(value);
}

/** True for a name that can be sent as the value of a header: visible ASCII characters only. */
export function isHeaderText(value: unknown): value is string {
  return isName(value) && HEADER_TEXT.test(value);
}

/** True for a start time in Unix milliseconds that is not in the far future. */
export function isStartTime(value: unknown): value is number {
  return isCount(value, Date.now() + MAX_CLOCK_OFFSET_MS);
}
