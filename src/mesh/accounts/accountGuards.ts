/** Guards for the accounts that another node sends. */
import { isAmount, isCount, isHeaderText, isName } from '../../utils/boundedValues.js';
import type { ClientAccount } from '../model.js';
import type { AccountChanges } from './accountChanges.js';

/** The name becomes a header of the requests to an instance. */
export function isClientAccount(value: unknown): value is ClientAccount {
  const account = (value ?? {}) as Partial<ClientAccount>;
  return (
    isHeaderText(account.name) &&
    Array.isArray(account.keyDigests) &&
    account.keyDigests.every(isName) &&
    (account.priority === undefined || isAmount(account.priority)) &&
    isAmount(account.ratePerS) &&
    isAmount(account.burst)
  );
}

/** True for a list of accounts; a node of an earlier build sends none. */
export function isAccountList(value: unknown): value is readonly ClientAccount[] {
  return Array.isArray(value) && value.every(isClientAccount);
}

/** True for changes as `diffAccounts` builds them; `count` is checked when they are applied. */
export function isAccountChanges(value: unknown): value is AccountChanges {
  const { changed, removed, count } = (value ?? {}) as Partial<AccountChanges>;
  return (
    isAccountList(changed) && Array.isArray(removed) && removed.every(isName) && isCount(count)
  );
}
