/** Counters of control traffic. */
import type { ControlCounters } from '../../types/interfaces.js';

/** Creates counters of control traffic; the keys of a snapshot are `<direction> <type>`. */
export function createControlCounters(): ControlCounters {
  const totals = new Map<string, { messages: number; bytes: number }>();
  return {
    count: (direction, type, bytes) => {
      const key = `${direction} ${type}`;
      const total = totals.get(key);
      if (!total) {
        totals.set(key, { messages: 1, bytes });
        return;
      }
      total.messages += 1;
      total.bytes += bytes;
    },
    snapshot: () =>
      Object.fromEntries([...totals].map(([key, total]) => [key, { ...total }] as const)),
  };
}
