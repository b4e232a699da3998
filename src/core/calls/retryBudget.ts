/** Bounds the retries of a route to a share of its first attempts. */
import type { RouteName } from '../../types/ids.js';

/** Retries available at the start, so that a route with few calls can retry at all. */
const MIN_RESERVE = 3;
/** Largest number of saved retries, so that a quiet hour does not pay for a retry storm. */
const MAX_RESERVE = 50;

/** Retry budgets of all routes of this node. */
export interface RetryBudget {
  /** Adds the share that a first attempt earns. */
  recordFirst(route: RouteName, budgetPercent: number): void;
  /** Takes one retry; false when the budget is spent or zero percent. */
  claim(route: RouteName, budgetPercent: number): boolean;
}

/** Creates budgets at their reserve. */
export function createRetryBudget(): RetryBudget {
  const saved = new Map<RouteName, number>();
  const get = (route: RouteName) => saved.get(route) ?? MIN_RESERVE;
  return {
    recordFirst(route, budgetPercent) {
      saved.set(route, Math.min(MAX_RESERVE, get(route) + budgetPercent / 100));
    },
    claim(route, budgetPercent) {
      const left = get(route);
      if (budgetPercent <= 0 || left < 1) return false;
      saved.set(route, left - 1);
      return true;
    },
  };
}
