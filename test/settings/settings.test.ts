import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { parseSettings } from '../../src/core/settings.js';

const VALID_SETTINGS = `{
  // One node of the example deployment.
  "nodeId": "n1",
  "dataCentre": "bavaria-south-a",
  "region": "bavaria-south",
  "host": "127.0.0.1",
  "callPort": 0, "peerPort": 0, "announcePort": 0, "operatorPort": 0,
  "platformUrl": "http://127.0.0.1:8000",
}`;

describe('settings', () => {
  // Guards against defaults that are missing in nested objects.
  test('comments are allowed and defaults are filled in', () => {
    const settings = parseSettings(VALID_SETTINGS, 'node.jsonc')._unsafeUnwrap();
    assert.equal(settings.distribution.fetchTimeoutMs, 500);
    assert.equal(settings.membership.pingIntervalMs, 1000);
    assert.deepEqual(settings.seeds, []);
  });

  const invalidCases = [
    { name: 'a syntax error', from: '"nodeId": "n1"', to: '"nodeId" "n1"', at: 'node.jsonc:3:12' },
    { name: 'an unknown key', from: '"callPort"', to: '"callport"', at: 'unknown key "callport"' },
    { name: 'a missing key', from: '"nodeId": "n1",', to: '', at: "'nodeId'" },
    { name: 'a bad port', from: '"peerPort": 0', to: '"peerPort": 70000', at: 'node.jsonc:7:30' },
    { name: 'a host name', from: '"host": "127.0.0.1"', to: '"host": "n1.local"', at: '/host' },
    {
      name: 'a public operator port without a token',
      from: '"region"',
      to: '"operatorHost": "10.0.0.1", "region"',
      at: '/operatorToken',
    },
  ];
  for (const { name, from, to, at } of invalidCases) {
    // Guards against a daemon that starts with invalid settings or does not report the position.
    test(`${name} is refused with its position or key`, () => {
      const result = parseSettings(VALID_SETTINGS.replace(from, to), 'node.jsonc');
      const error = result._unsafeUnwrapErr();
      assert.equal(error.kind, 'invalid');
      assert.equal(error.peer, 'node.jsonc');
      assert.ok(error.message.includes(at), error.message);
    });
  }

  // Guards against validation that stops at the first fault.
  test('all faults are listed', () => {
    const text = VALID_SETTINGS.replace('"n1"', '7').replace('"peerPort": 0', '"peerPort": "x"');
    const error = parseSettings(text, 'node.jsonc')._unsafeUnwrapErr();
    assert.equal(error.message.split('\n').length, 2);
  });
});
