/** Records of nodes that are gone: removed after a long silence, on the revision that was read. */
import assert from 'node:assert/strict';
import { ok } from 'neverthrow';
import { test } from 'node:test';
import { Directory } from '../../src/mesh/directory.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import type { NodeRecord } from '../../src/mesh/model.js';
import { GONE_MS, pruneGoneNodes } from '../../src/mesh/reaper.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import { brandText } from '../../src/types/ids.js';

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

/** Lets nodes fall silent at the given times and returns the records that are removed. */
async function prune(silences: Readonly<Record<string, readonly number[]>>): Promise<string[]> {
  const directory = new Directory(brandText('own'), SILENT_LOG, new RevisionExchange([]));
  for (const [index, name] of Object.keys(silences).entries()) {
    directory.update(buildRecord(name), 10 + index);
  }
  const nodes = directory.listCandidates(brandText('pads'), 'a', 0, 0);
  for (const { peer } of nodes) {
    for (const atMs of silences[peer.record.nodeId] ?? []) peer.recordSilence(atMs);
  }
  const removed: string[] = [];
  const store = {
    remove: async (kind: string, name: string, revision: number) => {
      removed.push(`${kind}/${name}@${revision}`);
      return ok(undefined);
    },
  };
  await pruneGoneNodes(directory, store, SILENT_LOG, GONE_MS + 1000);
  return removed;
}

test('the record of a node that is silent for long is removed on its revision', async () => {
  const removed = await prune({ gone: [500, GONE_MS], short: [GONE_MS], sound: [] });
  assert.deepEqual(removed, ['lycheelane-nodes/gone@10']);
});

test('a node that was not asked lately and the own one are kept', async () => {
  const removed = await prune({ own: [500, GONE_MS], idle: [500] });
  assert.deepEqual(removed, []);
});

test('the record of a node that said long ago that it leaves is removed', async () => {
  const directory = new Directory(brandText('own'), SILENT_LOG, new RevisionExchange([]));
  directory.update({ ...buildRecord('left'), state: 'leaving' }, 7);
  const removed: string[] = [];
  const store = {
    remove: async (kind: string, name: string, revision: number) => {
      removed.push(`${kind}/${name}@${revision}`);
      return ok(undefined);
    },
  };
  await pruneGoneNodes(directory, store, SILENT_LOG, performance.now() + GONE_MS - 5000);
  assert.deepEqual(removed, []);
  await pruneGoneNodes(directory, store, SILENT_LOG, performance.now() + GONE_MS + 1);
  assert.deepEqual(removed, ['lycheelane-nodes/left@7']);
});
