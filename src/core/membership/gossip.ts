import type { MemberChange } from '../../generated/types.js';
import { toChange, type Table } from './table.js';

/** Largest piggybacked part of one ping or ack: about ten records. */
export const PIGGYBACK_BYTES = 4096;
/** Repetitions per change as a multiple of the logarithm of the group size (SWIM's lambda). */
const REPEAT_FACTOR = 3;

/** Changes that are still to be repeated on pings and acks. */
export interface GossipQueue {
  add(nodeId: string): void;
  /** Returns the changes sent least often so far, up to a size, and counts them as sent. */
  take(maxBytes?: number): MemberChange[];
  count(): number;
}

/** Returns how often a change is repeated in a group of a size. */
export function computeRepeats(members: number): number {
  return Math.ceil(REPEAT_FACTOR * Math.log10(members + 1)) + 1;
}

/** Returns the bytes of a change in a message. */
export function measureChange(change: MemberChange): number {
  return Buffer.byteLength(JSON.stringify(change)) + 1;
}

/** Creates the queue of changes for the members of one data centre. */
export function createGossipQueue(table: Table, dataCentre: string): GossipQueue {
  const sent = new Map<string, number>();
  return {
    add: (nodeId) => sent.set(nodeId, 0),
    take: (maxBytes = PIGGYBACK_BYTES) => {
      if (sent.size === 0) return [];
      const limit = computeRepeats(table.listPresent(dataCentre).length);
      const order = [...sent].sort((a, b) => a[1] - b[1]);
      const changes: MemberChange[] = [];
      let bytes = 0;
      for (const [nodeId, times] of order) {
        const entry = table.get(nodeId);
        if (!entry) {
          sent.delete(nodeId);
          continue;
        }
        const change = toChange(entry);
        bytes += measureChange(change);
        if (bytes > maxBytes && changes.length > 0) break;
        changes.push(change);
        if (times + 1 >= limit) sent.delete(nodeId);
        else sent.set(nodeId, times + 1);
      }
      return changes;
    },
    count: () => sent.size,
  };
}
