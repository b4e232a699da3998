/** Differences between the accounts of two versions of the configuration. It performs no I/O. */
import type { AccountName } from '../../types/ids.js';
import type { ClientAccount } from '../model.js';
import { applyNamedChanges, mergeNamedChanges, type NamedChanges } from '../namedChanges.js';

/** Accounts that were added, changed or removed. */
export interface AccountChanges extends NamedChanges<AccountName, ClientAccount> {
  /** Number of accounts of the later version, which detects changes for another base. */
  readonly count: number;
}

function isSameAccount(one: ClientAccount, other: ClientAccount): boolean {
  return (
    one.priority === other.priority &&
    one.ratePerS === other.ratePerS &&
    one.burst === other.burst &&
    one.keyDigests.length === other.keyDigests.length &&
    one.keyDigests.every((digest, index) => digest === other.keyDigests[index])
  );
}

function mapAccounts(accounts: readonly ClientAccount[]): Map<AccountName, ClientAccount> {
  return new Map(accounts.map((account) => [account.name, account]));
}

/** Returns the changes from `before` to `after`. */
export function diffAccounts(
  before: readonly ClientAccount[],
  after: readonly ClientAccount[],
): AccountChanges {
  const known = mapAccounts(before);
  const kept = mapAccounts(after);
  const changed = after.filter((account) => {
    const former = known.get(account.name);
    return !former || !isSameAccount(former, account);
  });
  const removed = [...known.keys()].filter((name) => !kept.has(name));
  return { changed, removed, count: after.length };
}

/** Combines two successive changes. */
export function mergeAccountChanges(first: AccountChanges, second: AccountChanges): AccountChanges {
  return { ...mergeNamedChanges(first, second), count: second.count };
}

/** Applies changes to the accounts that they start from; undefined if they do not fit. */
export function applyAccountChanges(
  base: readonly ClientAccount[],
  changes: AccountChanges,
): readonly ClientAccount[] | undefined {
  const { changed, removed, count } = changes;
  if (changed.length === 0 && removed.length === 0) {
    return base.length === count ? base : undefined;
  }
  const accounts = applyNamedChanges(mapAccounts(base), changes);
  return accounts.size === count ? [...accounts.values()] : undefined;
}
