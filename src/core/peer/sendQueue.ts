/** Bounded send queue of one peer. */
import { MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES } from './limits.js';

/** An encoded message in the queue. */
export interface QueuedLine {
  readonly type: string;
  readonly line: string;
  readonly bytes: number;
  /** Identifier of the request; absent for notifications, which may be dropped. */
  readonly id?: number | string;
  /** Expiry in Unix milliseconds; an expired line is not sent. */
  readonly expiresAtMs: number;
}

/** Queue of the lines to send to one peer. */
export interface SendQueue {
  /** Adds a line; returns false if the queue is full and contains no notification to drop. */
  add(item: QueuedLine): boolean;
  /** Removes and returns the next line that has not expired. */
  take(): QueuedLine | undefined;
  /** Resolves when a line is available or the signal is aborted. */
  wait(signal: AbortSignal): Promise<void>;
  /** Removes all lines and returns them. */
  drain(): QueuedLine[];
  count(): number;
}

/**
 * Creates a bounded queue. When it is full, the oldest notification is dropped: lost gossip is
 * repaired by anti-entropy, whereas a caller waits for the answer to a request.
 */
export function createSendQueue(
  maxMessages = MAX_QUEUED_MESSAGES,
  maxBytes = MAX_QUEUED_BYTES,
): SendQueue {
  let items: QueuedLine[] = [];
  let bytes = 0;
  let wake: (() => void) | undefined;

  const evictNotification = (): boolean => {
    const index = items.findIndex((item) => item.id === undefined);
    if (index === -1) return false;
    bytes -= items[index]?.bytes ?? 0;
    items.splice(index, 1);
    return true;
  };

  return {
    add: (item) => {
      if (item.bytes > maxBytes) return false;
      while (items.length >= maxMessages || bytes + item.bytes > maxBytes) {
        if (!evictNotification()) return false;
      }
      items.push(item);
      bytes += item.bytes;
      wake?.();
      return true;
    },
    take: () => {
      for (let item = items.shift(); item; item = items.shift()) {
        bytes -= item.bytes;
        if (item.expiresAtMs > Date.now()) return item;
      }
      return undefined;
    },
    wait: (signal) =>
      new Promise((resolve) => {
        if (items.length > 0 || signal.aborted) {
          resolve();
          return;
        }
        const finish = () => {
          wake = undefined;
          signal.removeEventListener('abort', finish);
          resolve();
        };
        wake = finish;
        signal.addEventListener('abort', finish, { once: true });
      }),
    drain: () => {
      const drained = items;
      items = [];
      bytes = 0;
      return drained;
    },
    count: () => items.length,
  };
}
