/**
 * Hosts whose clock stood still: what they knew of quotas before counts for nothing, since the
 * other nodes have gone on without them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createCoordination,
  type Coordination,
} from '../../../src/mesh/coordination/createCoordination.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import type { MeshConfig, MeshSettings } from '../../../src/mesh/model.js';
import { SuspensionDetector } from '../../../src/mesh/suspensionDetector.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { buildAccount, POLICY } from '../quotas/quotaMesh.js';

const ACCOUNT = buildAccount('a', 100, 100);
const CONFIG = { version: 1, accounts: [ACCOUNT] } as unknown as MeshConfig;
const IDS = Array.from({ length: 10 }, (_, index) => brandText<NodeId>(`n-${index}`));
const OWN_ID = IDS[0]!;
const SUSPENDED_MS = 4000;

interface Host {
  readonly coordination: Coordination;
  /** Lets the time of day go on while the monotonic clock stands still. */
  readonly suspend: () => void;
}

async function withHost(run: (host: Host) => void | Promise<void>): Promise<void> {
  let wallMs = 0;
  const coordination = createCoordination({
    getSettings: () => ({ nodeId: OWN_ID, quota: POLICY }) as MeshSettings,
    getConfig: () => CONFIG,
    processId: 'p-0',
    directory: { listReadyIds: () => [...IDS], listResponding: () => [] },
    hasReceivedList: () => true,
    isStopping: () => false,
    detector: new SuspensionDetector(
      () => wallMs,
      () => 0,
    ),
    log: SILENT_LOG,
    metrics: new MeshMetrics(),
  });
  const suspend = () => {
    wallMs += SUSPENDED_MS;
  };
  try {
    await run({ coordination, suspend });
  } finally {
    coordination.close();
  }
}

test('a coordinator that was suspended grants no more than the share of its own node', async () => {
  await withHost(({ coordination, suspend }) => {
    const startMs = performance.now();
    coordination.applyConfig(CONFIG);
    const report = (node: NodeId, afterMs: number, tokens = 0) => {
      const needs = tokens > 0 ? [{ account: ACCOUNT.name, tokens }] : [];
      const content = { steadyMs: 5000, mayBridge: false, needs, returns: [], holds: [] };
      const { coordinator } = coordination.reportAnswers;
      const answer = coordinator.answer(
        { node, process: `p-${node}`, ...content },
        startMs + afterMs,
        0,
      );
      return answer.grants.reduce((sum, grant) => sum + grant.tokens, 0);
    };
    for (let afterMs = 0; afterMs <= 4000; afterMs += 400) {
      for (const node of IDS) report(node, afterMs);
    }
    suspend();
    // Its nodes have changed to another coordinator meanwhile, which grants all of their rate.
    const granted = report(OWN_ID, 4010, 200);
    const excess = POLICY.overage * ((ACCOUNT.ratePerS * POLICY.windowMs) / 1000 + ACCOUNT.burst);
    const ownPart = (ACCOUNT.burst + excess + POLICY.slack) / IDS.length;
    assert.ok(granted <= ownPart, `${granted} of ${ownPart}`);
  });
});

test('tokens from before a suspension are not used after it', async () => {
  await withHost(async ({ coordination, suspend }) => {
    const { quotas } = coordination;
    const isGranted = async () => (await quotas.take(ACCOUNT)).kind === 'granted';
    const first = isGranted();
    const { needs } = quotas.collectTokens(OWN_ID);
    const grant = { account: ACCOUNT.name, tokens: 5, lifeMs: 1000, retryAfterMs: 0 };
    quotas.applyGrants([{ ...needs[0]!, tokens: 5 }], [grant], OWN_ID, performance.now());
    assert.equal(await first, true);
    assert.equal(await isGranted(), true);
    suspend();
    void isGranted();
    assert.equal(quotas.isWaiting(), true);
    assert.deepEqual(quotas.listHolds(OWN_ID), []);
  });
});

test('an answer to a report from before a suspension grants nothing', async () => {
  await withHost(async ({ coordination, suspend }) => {
    const { quotas } = coordination;
    const decision = quotas.take(ACCOUNT);
    const { needs } = quotas.collectTokens(OWN_ID);
    const sentAtMs = performance.now();
    suspend();
    const grant = { account: ACCOUNT.name, tokens: 1, lifeMs: 1000, retryAfterMs: 0 };
    quotas.applyGrants(needs, [grant], OWN_ID, sentAtMs);
    assert.equal((await decision).kind, 'unknown');
  });
});
