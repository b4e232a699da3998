/** Computes the limits of the memory account and of connections from those of the host. */
import type { ClientLimits } from './clientConnections.js';
import type { AccountLimits } from './memoryAccount.js';

const BYTES_PER_MB = 1024 * 1024;

/**
 * Share of the memory of the process that is held for other parties. The rest is for the program,
 * about 60 MB, and for memory that was released but not collected yet, up to 64 MB by V8's rules,
 * or that the allocator keeps. With 0.375 a process of 250 MB reached 260 MB.
 */
const MEMORY_SHARE = 0.3;

/** Shares of the account; the first leaves room for ordinary requests beside large bodies. */
const REQUEST_SHARE = 0.8;
const RESPONSE_SHARE = 0.4;
const CONNECTION_SHARE = 0.65;

/** Lower bound of the limit of responses: one body of the largest size. */
const MIN_RESPONSE_BYTES = 8 * BYTES_PER_MB;

/** Descriptors that the platform keeps for itself. */
const RESERVED_FDS = 200;

/** Share of the descriptors that clients may use; the others are for nodes, instance and store. */
const CLIENT_FD_SHARE = 0.75;

/** Lower bound of the limit of client connections. */
const MIN_CLIENTS = 16;

/** Requests on one connection without a response; clients rarely send more than a few ahead. */
const MAX_REQUESTS = 256;

/** Limits of a host. */
export interface HostLimits {
  readonly maxFds: number;
  readonly stallMs: number;
}

/** Limits of the memory account of a process that may use `memoryMb`. */
export function computeAccountLimits(memoryMb: number): AccountLimits {
  const total = Math.max(MIN_RESPONSE_BYTES, memoryMb * BYTES_PER_MB * MEMORY_SHARE);
  return {
    total,
    request: total * REQUEST_SHARE,
    response: Math.max(MIN_RESPONSE_BYTES, total * RESPONSE_SHARE),
    connection: total * CONNECTION_SHARE,
  };
}

/** Limits of the connections of clients. */
export function computeClientLimits({ maxFds, stallMs }: HostLimits): ClientLimits {
  const clientFds = Math.floor((maxFds - RESERVED_FDS) * CLIENT_FD_SHARE);
  return { maxConnections: Math.max(MIN_CLIENTS, clientFds), maxRequests: MAX_REQUESTS, stallMs };
}

/** Limits of the connections of other nodes, which probe each other and call in parallel. */
export const NODE_LIMITS: ClientLimits = {
  maxConnections: Infinity,
  maxRequests: Infinity,
  stallMs: Infinity,
};
