/** Computes how much of its quota each account uses, from two readings of the metrics pages. */
import type { MetricsPage } from './fetchPages.js';

/** What an account has got within the interval, from all coordinators together. */
export interface QuotaUsage {
  readonly account: string;
  readonly ratePerS: number;
  readonly burst: number;
  /** Granted tokens that were not returned. */
  readonly granted: number;
  /** Tokens that were asked for and not granted; each report of a node asks anew. */
  readonly missing: number;
  /** Requests that were refused with 429 at the nodes whose pages were read. */
  readonly refused: number;
  /** Granted tokens per second as a share of the rate; above 1 while a burst is used. */
  readonly usedShare: number;
}

interface Totals {
  ratePerS: number;
  burst: number;
  granted: number;
  returned: number;
  missing: number;
  refused: number;
  grantedPerS: number;
}

const COUNTERS = {
  quota_tokens_granted: 'granted',
  quota_tokens_returned: 'returned',
  quota_tokens_missing: 'missing',
  quota_denied: 'refused',
} as const;

const LIMITS = { quota_limit_per_s: 'ratePerS', quota_limit_burst: 'burst' } as const;

function findKey<Key extends string>(keys: Readonly<Record<string, Key>>, name: string) {
  return Object.hasOwn(keys, name) ? keys[name] : undefined;
}

function getTotals(byAccount: Map<string, Totals>, account: string): Totals {
  let totals = byAccount.get(account);
  if (!totals) {
    const counts = { granted: 0, returned: 0, missing: 0, refused: 0 };
    totals = { ratePerS: 0, burst: 0, ...counts, grantedPerS: 0 };
    byAccount.set(account, totals);
  }
  return totals;
}

function listCounters({ samples }: MetricsPage): Map<string, number> {
  return new Map(samples.map(({ name, labels, value }) => [`${name} ${labels.account}`, value]));
}

/** Adds the changes between two readings of one page. */
function addPage(byAccount: Map<string, Totals>, first: MetricsPage, last: MetricsPage): void {
  const before = listCounters(first);
  const elapsedS = Math.max(1, last.atMs - first.atMs) / 1000;
  for (const { name, labels, value } of last.samples) {
    const { account } = labels;
    if (account === undefined) continue;
    const limit = findKey(LIMITS, name);
    if (limit) {
      const totals = getTotals(byAccount, account);
      // Nodes may have different versions of the configuration in force for a moment.
      totals[limit] = Math.max(totals[limit], value);
    }
    const counter = findKey(COUNTERS, name);
    if (!counter) continue;
    const earlier = before.get(`${name} ${account}`) ?? 0;
    // A process that has started again counts from 0.
    const change = value >= earlier ? value - earlier : value;
    const totals = getTotals(byAccount, account);
    totals[counter] += change;
    if (counter === 'granted') totals.grantedPerS += change / elapsedS;
    if (counter === 'returned') totals.grantedPerS -= change / elapsedS;
  }
}

/** Returns the accounts, the most used one first. */
export function computeUsage(
  first: readonly MetricsPage[],
  last: readonly MetricsPage[],
): QuotaUsage[] {
  const byAccount = new Map<string, Totals>();
  for (const page of last) {
    const earlier = first.find(({ peer }) => peer === page.peer);
    if (earlier) addPage(byAccount, earlier, page);
  }
  const usage = [...byAccount].map(([account, totals]): QuotaUsage => {
    const { ratePerS, burst, granted, returned, missing, refused, grantedPerS } = totals;
    const usedShare = ratePerS > 0 ? Math.max(0, grantedPerS) / ratePerS : 0;
    const used = Math.max(0, granted - returned);
    return { account, ratePerS, burst, granted: used, missing, refused, usedShare };
  });
  return usage.sort((a, b) => b.usedShare - a.usedShare || a.account.localeCompare(b.account));
}
