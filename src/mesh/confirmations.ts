/**
 * Keeps the evidence young that this node has missed no change. A connection to the store may go
 * silent without an error, so that a change may be missed from the last response on.
 *
 * Evidence is a response of the store, or the report of a node that has younger evidence. A node
 * without any asks the primary watcher of its data centre; if that has none either, it calls the
 * store on a new connection. So few nodes renew their watches often, and none relies on a report
 * whose age it does not know.
 */
import type { KindPosition } from './kindPosition.js';
import type { PeerCalls } from './peerCalls.js';

/** Interval between two checks of the age of the evidence. */
const CHECK_INTERVAL_MS = 200;

/**
 * Time before the evidence is too old at which other nodes are asked. It is shorter than the
 * reserve of primary watchers, so that these have renewed theirs by then.
 */
const ASK_RESERVE_MS = 700;

/** Minimum interval between two questions to the same nodes. */
const ASK_INTERVAL_MS = 300;

/** Part of the limit on silence in which a change is read on a new connection and applied. */
const RENEWAL_RESERVE_MS = 700;

/**
 * Time by which the evidence of a follower may be older. Its sources renew theirs first, so that it
 * does not leave them for nodes that still follow them.
 */
const FOLLOWER_GRACE_MS = 250;

/** Lower bound of the age at which evidence is too old, for limits shorter than the reserve. */
const MIN_UNCONFIRMED_MS = 500;

/** Returns the age at which evidence is too old, in milliseconds. */
export function computeMaxUnconfirmedMs(silenceLimitMs: number): number {
  return Math.max(MIN_UNCONFIRMED_MS, silenceLimitMs - RENEWAL_RESERVE_MS);
}

/** Options of the confirmations. */
export interface ConfirmationOptions {
  readonly positions: readonly Pick<KindPosition, 'getUnconfirmedMs' | 'interruptUnconfirmed'>[];
  /** Returns the nodes to ask; empty when this node is the one with the youngest evidence. */
  readonly listConfirmers: () => readonly Pick<PeerCalls, 'exchangeRevisions'>[];
  readonly getSilenceLimitMs: () => number;
  /** Returns true while this node follows others, which renew their evidence at the same age. */
  readonly isFollower: () => boolean;
}

/** Starts the checks; returns a function that stops them. */
export function startConfirmations(options: ConfirmationOptions): () => void {
  const { positions, listConfirmers, getSilenceLimitMs, isFollower } = options;
  let askedAtMs = -Infinity;
  const check = () => {
    const nowMs = performance.now();
    const maxUnconfirmedMs = computeMaxUnconfirmedMs(getSilenceLimitMs());
    for (const position of positions) {
      if (position.getUnconfirmedMs(nowMs) <= maxUnconfirmedMs) continue;
      const graceMs = isFollower() ? FOLLOWER_GRACE_MS : 0;
      position.interruptUnconfirmed(nowMs, maxUnconfirmedMs + graceMs);
    }
    const askAfterMs = maxUnconfirmedMs - ASK_RESERVE_MS;
    const isAged = positions.some((position) => position.getUnconfirmedMs(nowMs) > askAfterMs);
    if (!isAged || nowMs - askedAtMs < ASK_INTERVAL_MS) return;
    askedAtMs = nowMs;
    for (const confirmer of listConfirmers()) void confirmer.exchangeRevisions();
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
}
