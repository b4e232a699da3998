/** Priority queue, first in, first out within each priority. */
import type { RouteConfig } from '../../generated/types.js';

/** Priority of a route. */
export type Priority = RouteConfig['priority'];

const HIGHEST_FIRST: readonly Priority[] = ['critical', 'normal', 'sheddable'];

/** Items ordered by priority, then by age. */
export interface PriorityQueue<Item> {
  add(priority: Priority, item: Item): void;
  /** Removes and returns the oldest item of the highest priority. */
  removeNext(): Item | undefined;
  remove(priority: Priority, item: Item): void;
  /** Removes and returns the newest item of the lowest priority below `priority`. */
  evictBelow(priority: Priority): Item | undefined;
  /** Counts the items that would be removed before a new item of `priority`. */
  countAhead(priority: Priority): number;
  count(): number;
}

/** Creates an empty queue. */
export function createPriorityQueue<Item>(): PriorityQueue<Item> {
  const items: Readonly<Record<Priority, Set<Item>>> = {
    critical: new Set(),
    normal: new Set(),
    sheddable: new Set(),
  };
  const countHighest = (levels: number) =>
    HIGHEST_FIRST.slice(0, levels).reduce((sum, priority) => sum + items[priority].size, 0);

  return {
    add(priority, item) {
      items[priority].add(item);
    },
    remove(priority, item) {
      items[priority].delete(item);
    },
    removeNext() {
      for (const priority of HIGHEST_FIRST) {
        const [oldest] = items[priority];
        if (oldest !== undefined) {
          items[priority].delete(oldest);
          return oldest;
        }
      }
      return undefined;
    },
    evictBelow(priority) {
      const lower = HIGHEST_FIRST.slice(HIGHEST_FIRST.indexOf(priority) + 1).reverse();
      for (const candidate of lower) {
        const newest = [...items[candidate]].at(-1);
        if (newest !== undefined) {
          items[candidate].delete(newest);
          return newest;
        }
      }
      return undefined;
    },
    countAhead: (priority) => countHighest(HIGHEST_FIRST.indexOf(priority) + 1),
    count: () => countHighest(HIGHEST_FIRST.length),
  };
}
