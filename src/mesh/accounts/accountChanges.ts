/** Differences between the accounts of two versions of the configuration. It performs no I/O. */
import type { AccountName } from '../../types/ids.js';
import type { ClientAccount } from '../model.js';

/** Accounts that were added, changed or removed. */
export interface AccountChanges {
  readonly changed: readonly ClientAccount[];
  readonly removed: readonly AccountName[];
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
  const changed = mapAccounts(first.changed);
  const removed = new Set(first.removed);
  for (const name of second.removed) {
    changed.delete(name);
    removed.add(name);
  }
  for (const account of second.changed) {
    changed.set(account.name, account);
    removed.delete(account.name);
  }
  return { changed: [...changed.values()], removed: [...removed], count: second.count };
}

/** Applies changes to the accounts that they start from; undefined if they do not fit. */
export function applyAccountChanges(
  base: readonly ClientAccount[],
  { changed, removed, count }: AccountChanges,
): readonly ClientAccount[] | undefined {
  if (changed.length === 0 && removed.length === 0) {
    return base.length === count ? base : undefined;
  }
  const accounts = mapAccounts(base);
  for (const name of removed) accounts.delete(name);
  for (const account of changed) accounts.set(account.name, account);
  return accounts.size === count ? [...accounts.values()] : undefined;
}
