import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createInstanceTable } from '../../src/core/upstream/instanceTable.js';
import { parseSettings } from '../../src/core/settings.js';
import { formatHostPort, isLoopback, normalizeAddress } from '../../src/utils/address.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { buildAnnouncement } from '../upstream/support.js';

const ADDRESS_CASES: readonly (readonly [string, string, boolean])[] = [
  ['0:0:0:0:0:0:0:1', '::1', true],
  ['FD00:0::A', 'fd00::a', false],
  ['::FFFF:7f00:1', '127.0.0.1', true],
  ['::ffff:10.0.0.1', '10.0.0.1', false],
  ['fe80::1%lo', 'fe80::1%lo', false],
  ['10.0.0.1', '10.0.0.1', false],
  ['localhost', 'localhost', true],
];

// Guards against two notations of one address that are treated as different addresses, and against
// logs and URLs in which the port cannot be distinguished from an IPv6 address.
test('addresses are normalized and joined with ports unambiguously', () => {
  for (const [text, expected, isLoopbackAddress] of ADDRESS_CASES) {
    assert.equal(normalizeAddress(text), expected);
    assert.equal(isLoopback(text), isLoopbackAddress, text);
  }
  const joined = ['::1', '10.0.0.1'].map((host) => formatHostPort(host, 7000));
  assert.deepEqual(joined, ['[::1]:7000', '10.0.0.1:7000']);
});

// Guards against settings and announcements that are refused because of the notation of an address.
test('settings and announcements accept the address of the host in any notation', (t) => {
  const settings = parseSettings(
    JSON.stringify({
      ...{ nodeId: 'n1', dataCentre: 'dc1', region: 'r1', platformUrl: 'http://[::1]:1' },
      ...{ host: 'FD00::A', announceHost: 'fd00:0::a', operatorHost: '0::1' },
      ...{ callPort: 0, peerPort: 0, announcePort: 0, operatorPort: 0 },
      seeds: [{ host: 'FD00::00B', port: 1 }],
    }),
    'n1.json',
  )._unsafeUnwrap();
  assert.deepEqual([settings.host, settings.seeds[0]?.host], ['fd00::a', 'fd00::b']);
  const table = createInstanceTable({
    members: { updateSelf: () => {} },
    ...{ ttlMs: 1000, ownHost: settings.host, logger: SILENT_LOGGER },
  });
  t.after(() => table.close());
  assert.equal(table.record(buildAnnouncement({ host: 'FD00:0:0::A' })).isOk(), true);
  assert.equal(table.record(buildAnnouncement({ host: 'fd00::b' })).isOk(), false);
});
