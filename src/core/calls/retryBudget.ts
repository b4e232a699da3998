/** Limits the retries of each route to a share of its first attempts, with a token bucket. */
import type { RouteName } from '../../types/ids.js';

/** Initial retry tokens, so that a route with few calls can retry at all. */
const INITIAL_TOKENS = 3;
/** Maximum retry tokens, so that tokens accumulated at low load do not permit a retry storm. */
const MAX_TOKENS = 50;

/** Retry budgets of all routes of this node. */
export interface RetryBudget {
  /** Adds `budgetPercent` of a token for a first attempt. */
  recordFirstAttempt(route: RouteName, budgetPercent: number): void;
  /** Consumes the token of one retry; false if there is none or `budgetPercent` is 0. */
  tryConsume(route: RouteName, budgetPercent: number): boolean;
}

export function createRetryBudget(): RetryBudget {
  const tokensByRoute = new Map<RouteName, number>();
  const getTokens = (route: RouteName) => tokensByRoute.get(route) ?? INITIAL_TOKENS;
  return {
    recordFirstAttempt(route, budgetPercent) {
      tokensByRoute.set(route, Math.min(MAX_TOKENS, getTokens(route) + budgetPercent / 100));
    },
    tryConsume(route, budgetPercent) {
      const tokens = getTokens(route);
      if (budgetPercent <= 0 || tokens < 1) return false;
      tokensByRoute.set(route, tokens - 1);
      return true;
    },
  };
}
