/** A coordinator whose process has just started: it grants no more than its nodes may bring. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCoordination } from '../../../src/mesh/coordination/createCoordination.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import type { MeshConfig, MeshSettings } from '../../../src/mesh/model.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { buildAccount, POLICY } from '../quotas/quotaMesh.js';

const NODES = 20;
const ACCOUNT = buildAccount('a', 100, 100);

/** Part of the allowed excess that all nodes together bring to a new coordinator. */
const BRIDGE_PART = 0.6;

test('a configuration before the node list does not make each bridge a whole one', () => {
  const ids = Array.from({ length: NODES }, (_, index) => brandText<NodeId>(`n-${index}`));
  const config = { version: 1, accounts: [ACCOUNT] } as unknown as MeshConfig;
  let hasReceivedList = false;
  const coordination = createCoordination({
    getSettings: () => ({ nodeId: ids[0]!, quota: POLICY }) as MeshSettings,
    getConfig: () => config,
    processId: 'p-0',
    directory: {
      listReadyIds: () => (hasReceivedList ? [...ids] : []),
      listResponding: () => [],
    },
    hasReceivedList: () => hasReceivedList,
    isStopping: () => false,
    log: SILENT_LOG,
    metrics: new MeshMetrics(),
  });
  try {
    coordination.applyConfig(config);
    hasReceivedList = true;
    let granted = 0;
    for (const node of ids) {
      const needs = [{ account: ACCOUNT.name, tokens: 100 }];
      const changed = { steadyMs: 1, mayBridge: true, needs, returns: [], holds: [] };
      const report = { node, process: `p-${node}`, ...changed };
      const { coordinator } = coordination.reportAnswers;
      const { grants } = coordinator.answer(report, performance.now(), 1);
      for (const { tokens } of grants) granted += tokens;
      // The node has used its tokens.
      coordinator.answer({ ...report, mayBridge: false, needs: [] }, performance.now(), 0);
    }
    const excess = POLICY.overage * ((ACCOUNT.ratePerS * POLICY.windowMs) / 1000 + ACCOUNT.burst);
    assert.ok(granted <= BRIDGE_PART * excess, `${granted} of ${BRIDGE_PART * excess}`);
    assert.ok(granted > 0);
  } finally {
    coordination.close();
  }
});
