/**
 * Requests with keys through a fleet: guards against keys that reach an instance, forged accounts,
 * and keys that are accepted without evidence that they are still valid.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EventLog } from '../../../src/mesh/eventLog.js';
import type { FleetAccount } from '../../../standins/mesh/configuration.js';
import {
  MeshFleet,
  restartNode,
  sendToHost,
  wait,
  type FleetHost,
} from '../../../standins/mesh/meshFleet.js';

const ROUTES = [{ prefix: '/read/' }, { prefix: '/open/', isAnonymous: true }];
const KEY = 'key-of-the-shop';
const ACCOUNTS: readonly FleetAccount[] = [
  { name: 'shop', keys: [KEY] },
  { name: 'cafe', keys: ['key-of-the-cafe'] },
];
const REVOCATION = { limitMs: 2500, configLimitMs: 1250 };
const POLL_INTERVAL_MS = 20;

let sent = 0;

async function send(
  host: FleetHost,
  key?: string,
  path = '/read/1',
  headers: Readonly<Record<string, string>> = {},
): Promise<number> {
  sent += 1;
  const keyHeader: Record<string, string> = key === undefined ? {} : { 'Api-Key': key };
  const request = { path, id: `account-${sent}`, headers: { ...headers, ...keyHeader } };
  return (await sendToHost(host, request)).status;
}

async function waitForStatus(host: FleetHost, status: number, key?: string): Promise<void> {
  while ((await send(host, key)) !== status) await wait(POLL_INTERVAL_MS);
}

/** Starts hosts that reach the store through proxies of their own. */
async function withAccounts(
  run: (fleet: MeshFleet, hosts: readonly FleetHost[]) => Promise<void>,
  log?: EventLog,
): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start(ROUTES, ACCOUNTS);
  try {
    const options = {
      hasOwnProxy: true,
      policies: { revocation: REVOCATION },
      ...(log && { log }),
    };
    await fleet.addHost('pads', 'a', options);
    await fleet.addHost('pads', 'b', options);
    await fleet.waitForRecords();
    for (const host of fleet.hosts) await waitForStatus(host, 200, KEY);
    await run(fleet, fleet.hosts);
  } finally {
    await fleet.close();
  }
}

test('an instance gets the name of the account and never its key', async () => {
  const lines: string[] = [];
  const log: EventLog = {
    write: (...parts) => {
      lines.push(JSON.stringify(parts));
    },
  };
  await withAccounts(async ({ hosts }) => {
    const forged = { 'X-Lycheelane-Tenant': 'cafe' };
    for (const host of hosts) {
      assert.equal(await send(host, KEY, '/read/1', forged), 200);
      assert.equal(await send(host, undefined, '/open/1', forged), 200);
      assert.equal(await send(host, KEY, '/open/1'), 200);
      assert.equal(await send(host, 'unknown-key'), 401);
      assert.equal(await send(host), 401);
    }
    const runs = hosts.flatMap(({ instance }) => instance.runs);
    assert.ok(runs.length > 0);
    for (const { path, account, key } of runs) {
      assert.equal(key, undefined);
      assert.equal(account, path.startsWith('/open/') ? undefined : 'shop');
    }
    for (const secret of [KEY, 'unknown-key']) {
      assert.ok(!lines.some((line) => line.includes(secret)));
    }
  }, log);
});

test('a removed key works nowhere after its bound, without the store neither', async () => {
  await withAccounts(async (fleet, [other, isolated]) => {
    isolated!.proxy!.setFault({ kind: 'one-way' });
    // The other host would tell it of the change; it is cut off from that one as well.
    await other!.node.close();
    fleet.configure(2, ROUTES, ACCOUNTS.slice(1));
    const removedAtMs = performance.now();
    let lastServedAtMs = 0;
    while (performance.now() - removedAtMs < REVOCATION.limitMs + 1000) {
      const startedAtMs = performance.now();
      if ((await send(isolated!, KEY)) === 200) lastServedAtMs = startedAtMs;
      await wait(POLL_INTERVAL_MS);
    }
    assert.ok(lastServedAtMs - removedAtMs < REVOCATION.limitMs);
    assert.equal(await send(isolated!, KEY), 503);
    assert.equal(await send(isolated!, undefined, '/open/1'), 200);
  });
});

test('a restarted host serves no keys before it knows that it missed no change', async () => {
  await withAccounts(async (fleet, [source, restarted]) => {
    await restarted!.node.close();
    restarted!.proxy!.setFault({ kind: 'one-way' });
    source!.proxy!.setFault({ kind: 'one-way' });
    // Without the store, the other host is the only source, and its evidence grows old.
    await wait(REVOCATION.limitMs);
    fleet.configure(2, ROUTES, ACCOUNTS.slice(1));
    await restartNode(restarted!);
    for (let tries = 0; tries < 40; tries += 1) {
      assert.notEqual(await send(restarted!, KEY), 200);
      await wait(POLL_INTERVAL_MS);
    }
    for (const host of [source!, restarted!]) host.proxy!.setFault({ kind: 'none' });
    await waitForStatus(restarted!, 200, 'key-of-the-cafe');
    assert.equal(await send(restarted!, KEY), 401);
  });
});

test('a key that was added is refused only for now while the version may be behind', async () => {
  await withAccounts(async (fleet, [first, second]) => {
    for (const host of [first!, second!]) host.proxy!.setFault({ kind: 'one-way' });
    await wait(REVOCATION.configLimitMs + 200);
    fleet.configure(2, ROUTES, [...ACCOUNTS, { name: 'kiosk', keys: ['new-key'] }]);
    assert.equal(await send(first!, 'new-key'), 503);
    for (const host of [first!, second!]) host.proxy!.setFault({ kind: 'none' });
    await waitForStatus(first!, 200, 'new-key');
  });
});
