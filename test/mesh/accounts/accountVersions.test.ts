/** Guards against accounts that get lost between nodes, and against guesses of what they are. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeConfiguration } from '../../../platform/configuration.js';
import {
  applyAccountChanges,
  diffAccounts,
  mergeAccountChanges,
} from '../../../src/mesh/accounts/accountChanges.js';
import { applyDelta, diffConfigs, type ConfigDelta } from '../../../src/mesh/configDelta.js';
import type { ClientAccount, MeshConfig } from '../../../src/mesh/model.js';
import { buildWhole, restoreWhole, type WholeConfig } from '../../../src/mesh/wholeConfig.js';
import { brandText, NO_VERSION } from '../../../src/types/ids.js';
import { buildConfiguration, type FleetAccount } from '../../../standins/mesh/configuration.js';

const KEY = 'secret-key-of-the-shop';
const ACCOUNTS: readonly FleetAccount[] = [
  { name: 'shop', keys: [KEY, 'second'], priority: 0, ratePerS: 5, burst: 10 },
  { name: 'cafe', keys: ['third'] },
];

function decode(version: number, accounts: readonly FleetAccount[]): MeshConfig {
  const routes = [{ prefix: '/a/' }, { prefix: '/open/', isAnonymous: true }];
  const decoded = decodeConfiguration(buildConfiguration(version, routes, 100, accounts));
  assert.ok(typeof decoded !== 'string', String(decoded));
  return decoded;
}

const accountList = fc
  .uniqueArray(
    fc.record(
      {
        name: fc
          .constantFrom('a', 'b', 'c', 'd')
          .map((name) => brandText<ClientAccount['name']>(name)),
        keyDigests: fc.array(fc.constantFrom('x', 'y', 'z'), { maxLength: 2 }),
        priority: fc.constantFrom(undefined, 0, 1),
        ratePerS: fc.nat(2),
        burst: fc.nat(2),
      },
      { noNullPrototype: true },
    ),
    { selector: ({ name }) => name },
  )
  .map((accounts) => accounts as readonly ClientAccount[]);

function sortByName(accounts: readonly ClientAccount[]): ClientAccount[] {
  return [...accounts].sort((one, other) => one.name.localeCompare(other.name));
}

test('changes of accounts, merged or not, lead to the later accounts', () => {
  fc.assert(
    fc.property(accountList, accountList, accountList, (first, second, third) => {
      const merged = mergeAccountChanges(diffAccounts(first, second), diffAccounts(second, third));
      for (const changes of [diffAccounts(first, third), merged]) {
        const applied = applyAccountChanges(first, changes);
        assert.ok(applied);
        assert.deepEqual(sortByName(applied), sortByName(third));
      }
    }),
    { seed: 44 },
  );
});

test('no key is in a decoded configuration or in a message to another node', () => {
  const config = decode(2, ACCOUNTS);
  const messages = [config.accounts, buildWhole(config, 1), diffConfigs(decode(1, []), config, 1)];
  assert.ok(!JSON.stringify(messages).includes(KEY));
});

test('a version that another node sends has its accounts and anonymous routes', () => {
  const [before, after] = [decode(1, ACCOUNTS.slice(1)), decode(2, ACCOUNTS)];
  assert.deepEqual(restoreWhole(buildWhole(after, 1), NO_VERSION)._unsafeUnwrap(), after);
  const changed = applyDelta(before, diffConfigs(before, after, 1))._unsafeUnwrap();
  assert.deepEqual(sortByName(changed.accounts!), sortByName(after.accounts!));
  assert.deepEqual(changed.routes, after.routes);
});

test('a node of an earlier build, which does not know accounts, is not believed', () => {
  const [before, after] = [decode(1, []), decode(2, ACCOUNTS)];
  const { accounts: leftOut, ...whole } = buildWhole(after, 1);
  assert.ok(leftOut.length > 0 && restoreWhole(whole as WholeConfig, NO_VERSION).isErr());
  const { accounts: changes, ...delta } = diffConfigs(before, after, 1);
  assert.ok(changes.count > 0 && applyDelta(before, delta as ConfigDelta).isErr());
});

test('changes for other accounts than those in force are refused', () => {
  const changes = diffAccounts(decode(1, []).accounts!, decode(2, ACCOUNTS).accounts!);
  const other = decode(1, [{ name: 'kiosk', keys: ['fourth'] }]).accounts!;
  assert.equal(applyAccountChanges(other, changes), undefined);
});

test('a key of two accounts makes a version invalid, and the error does not show it', () => {
  const routes = [{ prefix: '/a/' }];
  const accounts = [...ACCOUNTS, { name: 'kiosk', keys: [KEY] }];
  const error = decodeConfiguration(buildConfiguration(3, routes, 100, accounts));
  assert.match(String(error), /kiosk/);
  assert.ok(!String(error).includes(KEY));
  const odd = [{ name: 'kiosk', keys: [KEY, 7] as unknown as string[] }];
  const oddError = decodeConfiguration(buildConfiguration(3, routes, 100, odd));
  assert.ok(typeof oddError === 'string' && !oddError.includes(KEY));
});
