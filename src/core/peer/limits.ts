/** Limits of the peer protocol; see docs/protocol.md. */

/** Longest line, newline excluded. A bundle of one megabyte fits with its JSON escapes. */
export const MAX_LINE_BYTES = 2 * 1024 * 1024;
/** Messages that wait for one slow peer. */
export const MAX_QUEUED_MESSAGES = 256;
/** Bytes that wait for one slow peer: two lines of the largest size. */
export const MAX_QUEUED_BYTES = 2 * MAX_LINE_BYTES;
/** Bad messages in a row after which a connection is closed. */
export const MAX_BAD_MESSAGES = 8;
/** Requests of one connection that run at a time; reading pauses above it. */
export const MAX_RUNNING_REQUESTS = 32;
/** Connections that a server holds. */
export const MAX_CONNECTIONS = 2048;
/** A connection without traffic is closed; a round over 54 members takes 54 s. */
export const IDLE_MS = 90_000;
/** The accepting side waits longer, so that it never closes under a request just sent. */
export const SERVER_IDLE_MS = 120_000;
/** Time allowed to open a connection. */
export const CONNECT_TIMEOUT_MS = 1000;
/** Reconnect delays to one target. */
export const RECONNECT_BOUNDS = { baseMs: 50, maxMs: 2000 } as const;
