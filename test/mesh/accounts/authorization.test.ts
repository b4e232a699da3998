/**
 * Guards against requests that run for a key that was removed, and against refusals of keys that a
 * later version holds.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  authorize,
  reauthorize,
  type AuthorizationContext,
} from '../../../src/mesh/accounts/authorization.js';
import { hashKey } from '../../../src/mesh/accounts/keys.js';
import type { ClientAccount, MeshConfig } from '../../../src/mesh/model.js';
import { brandText, brandVersion } from '../../../src/types/ids.js';

const POLICY = { limitMs: 5000, configLimitMs: 2500 };
const NOW_MS = 100_000;
const KEY = 'a-key';

function buildAccount(name: string, keys: readonly string[]): ClientAccount {
  return { name: brandText(name), keyDigests: keys.map(hashKey), ratePerS: 0, burst: 0 };
}

function buildContext(
  evidenceAgeMs: number,
  accounts = [buildAccount('shop', [KEY])],
): AuthorizationContext {
  const config: MeshConfig = {
    version: brandVersion(1),
    routes: new Map(),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    accounts,
  };
  return { config, policy: POLICY, evidenceAgeMs, nowMs: NOW_MS };
}

function describe(key: string | undefined, evidenceAgeMs: number): string {
  const decision = authorize({}, key, buildContext(evidenceAgeMs));
  return decision.kind === 'refused' ? decision.reason : decision.kind;
}

test('a key that may have been removed is not accepted, however old its configuration is', () => {
  for (const ageMs of [0, 2300, 4000]) assert.equal(describe(KEY, ageMs), 'account');
  for (const ageMs of [4001, 5000, Infinity]) {
    assert.equal(describe(KEY, ageMs), 'config-unconfirmed');
  }
});

test('a key that may have been added is not refused for good', () => {
  assert.equal(describe('other', 0), 'key-unknown');
  assert.equal(describe(undefined, 2500), 'key-missing');
  for (const key of ['other', undefined]) {
    assert.equal(describe(key, 2501), 'config-unconfirmed');
    assert.equal(describe(key, Infinity), 'config-unconfirmed');
  }
});

test('a request may start only until its evidence is as old as the bound on removed keys', () => {
  for (const evidenceAgeMs of [0, 1500, 4000]) {
    const decision = authorize({}, KEY, buildContext(evidenceAgeMs));
    assert.ok(decision.kind === 'account' && decision.untilMs !== undefined);
    assert.ok(decision.untilMs < NOW_MS - evidenceAgeMs + POLICY.limitMs);
    assert.ok(decision.untilMs > NOW_MS);
  }
});

test('without a bound on removed keys the version in force decides alone', () => {
  const context = { ...buildContext(Infinity), policy: undefined };
  const accepted = authorize({}, KEY, context);
  assert.ok(accepted.kind === 'account' && accepted.untilMs === undefined);
  const refused = authorize({}, 'other', context);
  assert.ok(refused.kind === 'refused' && refused.reason === 'key-unknown');
});

test('anonymous routes and configurations without accounts need no key and no evidence', () => {
  const context = buildContext(Infinity);
  assert.equal(authorize({ allowsAnonymous: true }, undefined, context).kind, 'anonymous');
  assert.equal(authorize({}, undefined, buildContext(Infinity, [])).kind, 'anonymous');
});

test('a call is not sent again after its key was removed or moved to another account', () => {
  const identity = { account: buildAccount('shop', [KEY]), keyDigest: hashKey(KEY) };
  assert.equal(reauthorize(identity, buildContext(0)).kind, 'account');
  for (const accounts of [[], [buildAccount('shop', ['new'])], [buildAccount('cafe', [KEY])]]) {
    assert.equal(reauthorize(identity, buildContext(0, accounts)).kind, 'refused');
  }
  assert.equal(reauthorize(identity, buildContext(4001)).kind, 'refused');
});
