/** Limits of the peer protocol; see docs/protocol.md. */

/** Maximum line length without newline; allows a bundle of 1 MB with JSON escapes. */
export const MAX_LINE_BYTES = 2 * 1024 * 1024;
/** Maximum number of queued messages per peer. */
export const MAX_QUEUED_MESSAGES = 256;
/** Maximum size of the queued messages per peer: two lines of maximum length. */
export const MAX_QUEUED_BYTES = 2 * MAX_LINE_BYTES;
/** Consecutive invalid messages after which a connection is closed. */
export const MAX_BAD_MESSAGES = 8;
/** Concurrent requests per connection; reading pauses when this number is reached. */
export const MAX_RUNNING_REQUESTS = 32;
/** Maximum number of connections of a server. */
export const MAX_CONNECTIONS = 2048;
/** Idle time-out of a connection: above the 54 s of a ping round over 54 members. */
export const IDLE_MS = 90_000;
/**
 * Idle time-out of the server, above that of the client, so that the server does not close a
 * connection on which a request has just been sent.
 */
export const SERVER_IDLE_MS = 120_000;
/** Time-out for opening a connection. */
export const CONNECT_TIMEOUT_MS = 1000;
/** Backoff between connection attempts to one target. */
export const RECONNECT_BOUNDS = { baseMs: 50, maxMs: 2000 } as const;
