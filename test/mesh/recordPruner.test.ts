/** Removal of expired node records, conditional on the revision that was read. */
import assert from 'node:assert/strict';
import { ok } from 'neverthrow';
import { test } from 'node:test';
import { Directory } from '../../src/mesh/directory.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import type { NodeRecord } from '../../src/mesh/model.js';
import { RECORD_EXPIRY_MS, pruneExpiredRecords } from '../../src/mesh/recordPruner.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import { brandText, type RouteName } from '../../src/types/ids.js';

function buildRecord(name: string): NodeRecord {
  return {
    nodeId: brandText(name),
    incarnation: 'p',
    dataCentre: brandText('a'),
    address: { host: '127.0.0.1', port: 1 },
    service: brandText('pads'),
    instanceId: brandText(`i-${name}`),
    slots: 4,
    state: 'ready',
  };
}

/** Records requests without a response at the given times and returns the removed records. */
async function prune(noResponseMs: Readonly<Record<string, readonly number[]>>): Promise<string[]> {
  const directory = new Directory(brandText('own'), SILENT_LOG, new RevisionExchange([]));
  for (const [index, name] of Object.keys(noResponseMs).entries()) {
    directory.update(buildRecord(name), 10 + index);
  }
  const route = { name: brandText<RouteName>('read'), priority: 0 };
  const nodes = directory.listCandidates(brandText('pads'), 'a', route, 0);
  for (const { peer } of nodes) {
    for (const atMs of noResponseMs[peer.record.nodeId] ?? []) peer.recordNoResponse(atMs);
  }
  const removed: string[] = [];
  const store = {
    remove: async (kind: string, name: string, revision: number) => {
      removed.push(`${kind}/${name}@${revision}`);
      return ok(undefined);
    },
  };
  await pruneExpiredRecords(directory, store, SILENT_LOG, RECORD_EXPIRY_MS + 1000);
  return removed;
}

test('the record of an unresponsive node is removed at its revision', async () => {
  const removed = await prune({
    expired: [500, RECORD_EXPIRY_MS],
    short: [RECORD_EXPIRY_MS],
    responsive: [],
  });
  assert.deepEqual(removed, ['lycheelane-nodes/expired@10']);
});

test('records of the node itself and of nodes that were not asked recently are kept', async () => {
  const removed = await prune({ own: [500, RECORD_EXPIRY_MS], idle: [500] });
  assert.deepEqual(removed, []);
});

test('the record of a node that has been leaving for the expiry time is removed', async () => {
  const directory = new Directory(brandText('own'), SILENT_LOG, new RevisionExchange([]));
  directory.update({ ...buildRecord('departed'), state: 'leaving' }, 7);
  const removed: string[] = [];
  const store = {
    remove: async (kind: string, name: string, revision: number) => {
      removed.push(`${kind}/${name}@${revision}`);
      return ok(undefined);
    },
  };
  await pruneExpiredRecords(
    directory,
    store,
    SILENT_LOG,
    performance.now() + RECORD_EXPIRY_MS - 5000,
  );
  assert.deepEqual(removed, []);
  await pruneExpiredRecords(directory, store, SILENT_LOG, performance.now() + RECORD_EXPIRY_MS + 1);
  assert.deepEqual(removed, ['lycheelane-nodes/departed@7']);
});
