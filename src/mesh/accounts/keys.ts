/** Digests of the keys of client accounts, which are never held or sent in clear. */
import { createHash } from 'node:crypto';
import type { ClientAccount } from '../model.js';

/** Returns the SHA-256 digest of a key. Comparing digests tells nothing about the key by time. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}

/** Indexes of the accounts in use; each version of the configuration has a list of its own. */
const indexes = new WeakMap<readonly ClientAccount[], ReadonlyMap<string, ClientAccount>>();

function buildIndex(accounts: readonly ClientAccount[]): ReadonlyMap<string, ClientAccount> {
  const index = new Map<string, ClientAccount>();
  for (const account of accounts) {
    for (const digest of account.keyDigests) index.set(digest, account);
  }
  return index;
}

/** Returns the account that holds the key with this digest; undefined if none does. */
export function findAccount(
  accounts: readonly ClientAccount[],
  keyDigest: string,
): ClientAccount | undefined {
  let index = indexes.get(accounts);
  if (!index) {
    index = buildIndex(accounts);
    indexes.set(accounts, index);
  }
  return index.get(keyDigest);
}

/** Returns the name of an account whose key another account holds too; undefined if none does. */
export function findSharedKey(accounts: readonly ClientAccount[]): string | undefined {
  const owners = new Map<string, ClientAccount>();
  for (const account of accounts) {
    for (const digest of account.keyDigests) {
      const owner = owners.get(digest);
      if (owner && owner !== account) return account.name;
      owners.set(digest, account);
    }
  }
  return undefined;
}
