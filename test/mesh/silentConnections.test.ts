/**
 * Guards against an old version that stays in force after open connections to the store have gone
 * silent, on hosts whose calls tell them nothing of the change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MeshFleet,
  sendToHost,
  SILENCE_LIMIT_MS,
  wait,
  type FleetHost,
} from '../../standins/mesh/meshFleet.js';
import { ROUTES } from './withFleet.js';

/** Time within which a version is in force after its write was acknowledged. */
const APPLY_BOUND_MS = 2000;

/** Time after the start in which all watches have become as long as they get. */
const SETTLE_MS = 4500;

const POLL_INTERVAL_MS = 20;

const NEW_ROUTE = { prefix: '/new/' };

interface SilenceCase {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** Time between the silence and the change. */
  readonly changeAfterMs: number;
}

const SMALL = ['a', 'a', 'b', 'b', 'c', 'c'];
const LARGE = Array.from({ length: 8 }, () => 'a');

const CASES: readonly SilenceCase[] = [
  { name: 'six hosts, a change at once', dataCentres: SMALL, changeAfterMs: 0 },
  { name: 'six hosts, a change after 0.9 s', dataCentres: SMALL, changeAfterMs: 900 },
  { name: 'six hosts, a change after 2 s', dataCentres: SMALL, changeAfterMs: 2000 },
  { name: 'a host that follows others', dataCentres: LARGE, changeAfterMs: 500 },
];

/** Returns when a host first allows a request that only the new version allows. */
async function measureInForceAtMs(host: FleetHost, limitAtMs: number): Promise<number> {
  for (let tries = 0; performance.now() < limitAtMs; tries += 1) {
    const id = `n-${host.settings.nodeId}-${tries}`;
    const { status } = await sendToHost(host, { path: '/new/', id });
    if (status !== 404) break;
    await wait(POLL_INTERVAL_MS);
  }
  return performance.now();
}

for (const { name, dataCentres, changeAfterMs } of CASES) {
  test(`a change is in force soon after store connections went silent: ${name}`, async () => {
    const fleet = new MeshFleet();
    await fleet.start(ROUTES);
    try {
      const proxy = await fleet.interposeStoreProxy();
      for (const dataCentre of dataCentres) await fleet.addHost('pads', dataCentre);
      await fleet.waitForRecords();
      await wait(SETTLE_MS);
      proxy.setFault({ kind: 'silence' });
      const silentAtMs = performance.now();
      await wait(changeAfterMs);
      fleet.configure(2, [...ROUTES, NEW_ROUTE]);
      const boundAtMs = Math.max(silentAtMs + SILENCE_LIMIT_MS, performance.now() + APPLY_BOUND_MS);
      const limitAtMs = boundAtMs + APPLY_BOUND_MS;
      const times = await Promise.all(
        fleet.hosts.map((host) => measureInForceAtMs(host, limitAtMs)),
      );
      const lateMs = times.map((atMs) => Math.round(atMs - boundAtMs));
      assert.ok(Math.max(...lateMs) <= 0, `late by ${lateMs.join()} ms`);
    } finally {
      await fleet.close();
    }
  });
}

/** Calls of one kind that the three primary watchers make in a second, with some margin. */
const MAX_CALM_CALLS_PER_S = (3 / 1.5) * 1.2;

test('in calm, only primary watchers ask the store whether anything has changed', async () => {
  const fleet = new MeshFleet();
  await fleet.start(ROUTES);
  try {
    for (const dataCentre of SMALL) await fleet.addHost('pads', dataCentre);
    await fleet.waitForRecords();
    await wait(SETTLE_MS);
    const countCalls = () => fleet.store.calls.filter((call) => call === 'GET config').length;
    const before = countCalls();
    const seconds = 6;
    await wait(seconds * 1000);
    const perSecond = (countCalls() - before) / seconds;
    assert.ok(perSecond <= MAX_CALM_CALLS_PER_S, `${perSecond} calls/s`);
  } finally {
    await fleet.close();
  }
});
