/**
 * Guards against calls that wait at a busy instance while others have free slots, in a fleet whose
 * nodes know the loads from long ago.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { playFleet, type Fleet } from '../../bench/selection/model.js';
import { BusyShares } from '../../src/mesh/busyShares.js';
import { ImmediateOffers } from '../../src/mesh/immediateOffers.js';
import type { Candidate } from '../../src/mesh/instanceSelection.js';
import { decodeMetadata, encodeMetadata } from '../../src/mesh/peerMessages.js';
import { brandText, type InstanceId, type ServiceName } from '../../src/types/ids.js';

const FLEET: Fleet = {
  nodes: 85,
  dataCentres: 4,
  instances: 64,
  slots: 6,
  meanRunMs: 386,
  objectiveMs: 1088,
  deadlineMs: 6000,
  load: 0.85,
  durationMs: 9000,
  seed: 3,
};

/** Largest distance to the share in time that full knowledge gives. */
const MAX_LOSS = 0.05;

test('nearly as many calls are in time as with full knowledge of the loads', () => {
  const full = playFleet(FLEET, { name: 'full', isOmniscient: true });
  const sampled = playFleet(FLEET, { name: 'sampled', isProduct: true });
  const offered = playFleet(FLEET, { name: 'offered', isProduct: true, hasImmediateOffers: true });
  assert.ok(sampled.inTimeShare < full.inTimeShare - MAX_LOSS, String(sampled.inTimeShare));
  assert.ok(offered.inTimeShare > full.inTimeShare - MAX_LOSS, String(offered.inTimeShare));
});

type TestCandidate = Candidate & { readonly peer: { readonly record: { instanceId: InstanceId } } };

function buildCandidates(count: number): TestCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    isSameDataCentre: true,
    slots: 4,
    outstanding: 0,
    outstandingAtLoad: 0,
    load: undefined,
    isUnreachable: false,
    isFull: false,
    peer: { record: { instanceId: brandText<InstanceId>(`i-${index}`) } },
  }));
}

test('few instances, whose loads are known, get no immediate offers', () => {
  assert.equal(new ImmediateOffers().isNext(buildCandidates(8)), false);
  assert.equal(new ImmediateOffers().isNext(buildCandidates(9)), true);
});

test('after two busy instances a call waits at one of these, or elsewhere if both are gone', () => {
  const offers = new ImmediateOffers();
  const candidates = buildCandidates(12);
  const listIds = (items: readonly TestCandidate[]) =>
    items.map(({ peer }) => String(peer.record.instanceId));
  for (const id of ['i-3', 'i-5']) {
    assert.equal(offers.isNext(candidates), true);
    offers.recordBusy(brandText(id));
  }
  assert.equal(offers.isNext(candidates), false);
  assert.ok(!listIds(offers.listUnasked(candidates)).includes('i-3'));
  assert.deepEqual(listIds(offers.listForWaiting(candidates, () => true)), ['i-3', 'i-5']);
  assert.equal(offers.listForWaiting(candidates, () => false).length, 12);
});

test('a call that may have run is not offered immediately any more', () => {
  const offers = new ImmediateOffers();
  offers.end();
  assert.equal(offers.isNext(buildCandidates(12)), false);
});

test('the other node learns that a call must not wait, with and without an account', () => {
  const nowMs = 1000;
  const metadata = {
    attemptId: 'p.1',
    requestId: 'r',
    route: brandText<never>('route'),
    instanceId: brandText<InstanceId>('i-1'),
    isIdempotent: true,
    priority: 1,
    deadlineAtMs: 3000,
    objectiveAtMs: 2000,
    needsFreeSlot: true,
  };
  const account = { name: brandText<never>('shop'), weight: 5 };
  for (const sent of [metadata, { ...metadata, account, authorizedUntilMs: 2500 }]) {
    const decoded = decodeMetadata(encodeMetadata(sent, undefined, nowMs), 'r', nowMs);
    assert.deepEqual(decoded?.metadata, sent);
    const resumed = decodeMetadata(encodeMetadata(sent, 'process', nowMs), 'r', nowMs);
    assert.equal(resumed?.resumedProcessId, 'process');
  }
});

test('a service without free slots gets few immediate offers, and more once it has some', () => {
  const service = brandText<ServiceName>('pads');
  const shares = new BusyShares(() => 0.5);
  assert.equal(shares.canOffer(service), true);
  for (let call = 0; call < 100; call += 1) shares.record(service, true);
  assert.equal(shares.canOffer(service), false);
  assert.equal(new BusyShares(() => 0).canOffer(service), true);
  for (let call = 0; call < 20; call += 1) shares.record(service, false);
  assert.equal(shares.canOffer(service), true);
});

test('an overloaded fleet sends few offers more than without immediate ones', () => {
  const fleet = { ...FLEET, load: 1.2 };
  const sampled = playFleet(fleet, { name: 'sampled', isProduct: true });
  const offered = playFleet(fleet, { name: 'offered', isProduct: true, hasImmediateOffers: true });
  assert.ok(offered.offersPerRequest < sampled.offersPerRequest + 1);
});
