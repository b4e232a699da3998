/**
 * Orders in the store, decided by the coordinator that the nodes of a fleet choose. Guards against
 * parts that work alone and do not fit together: versions in heartbeats and records, counts in
 * reports, directives in answers, the choice at the senders and the status in the store.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ROLLOUT_CODEC } from '../../../platform/rollouts.js';
import type { InstanceFault } from '../../../standins/mesh/instanceServer.js';
import { MeshFleet, sendToHost, wait } from '../../../standins/mesh/meshFleet.js';

const SERVICE = 'pads';
const TARGET = 'v2';
const POLICY = { maxShare: 0.4, slack: 30, rollbackMs: 5000 };
const DURATION_MS = 6000;

/** Time after the order by which a version that fails all requests must be rolled back. */
const MAX_ROLLBACK_MS = 4500;

/** Run time that is long against the differences which a loaded machine causes. */
const RUN_MS = 20;

const CALLERS = 4;
const CALL_PAUSE_MS = 10;

/** Time after a final state until every node has reported and knows it. */
const DIRECTIVE_MS = 1500;

const CHECKED_REQUESTS = 20;

class FleetRollout {
  private sent = 0;

  private isStopped = false;

  constructor(private readonly fleet: MeshFleet) {}

  async addHost(version: string, fault: InstanceFault = { kind: 'none' }): Promise<void> {
    const options = { version, policies: { rollout: POLICY } };
    const { instance } = await this.fleet.addHost(SERVICE, 'a', options);
    Object.assign(instance, { executionTimeMs: RUN_MS, fault });
  }

  readState(): string | undefined {
    const status = this.fleet.store.getStatus(ROLLOUT_CODEC.kind, SERVICE);
    return (status as { State?: string } | null | undefined)?.State;
  }

  async waitForState(isReached: (state: string | undefined) => boolean): Promise<void> {
    while (!isReached(this.readState())) await wait(20);
  }

  countRuns(version?: string): number {
    let runs = 0;
    for (const host of this.fleet.hosts) {
      if (version === undefined || host.version === version) runs += host.instance.runs.length;
    }
    return runs;
  }

  /** Sends one request to the node of an old instance. */
  async send(): Promise<void> {
    this.sent += 1;
    const host = this.fleet.hosts[this.sent % 2]!;
    await sendToHost(host, { path: '/book/1', id: `rollout-${this.sent}`, method: 'POST' });
  }

  async call(): Promise<void> {
    while (!this.isStopped) {
      await this.send();
      await wait(CALL_PAUSE_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }
}

/** Plays an order until its final state, and checks that with the runs and the time it took. */
async function playOrder(
  fault: InstanceFault,
  check: (rollout: FleetRollout, state: string | undefined, elapsedMs: number) => Promise<void>,
): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start([{ prefix: '/book/', kind: 'unsafe' }]);
  const rollout = new FleetRollout(fleet);
  try {
    for (let index = 0; index < 2; index += 1) await rollout.addHost('v1');
    await fleet.waitForRecords();
    const callers = Array.from({ length: CALLERS }, () => rollout.call());
    const orderedAtMs = performance.now();
    const spec = { Service: SERVICE, TargetVersion: TARGET, Duration: `${DURATION_MS}ms` };
    fleet.store.put(ROLLOUT_CODEC.kind, SERVICE, spec);
    await rollout.waitForState((state) => state === 'running');
    for (let index = 0; index < 2; index += 1) await rollout.addHost(TARGET, fault);
    await rollout.waitForState((state) => state !== 'running');
    const elapsedMs = performance.now() - orderedAtMs;
    rollout.stop();
    await Promise.all(callers);
    await check(rollout, rollout.readState(), elapsedMs);
  } finally {
    rollout.stop();
    await fleet.close();
  }
}

test('a good version is completed in time and gets all requests', async () => {
  await playOrder({ kind: 'none' }, async (rollout, state, elapsedMs) => {
    assert.equal(state, 'completed');
    assert.ok(elapsedMs < DURATION_MS, `completed after ${elapsedMs} ms`);
    await wait(DIRECTIVE_MS);
    const runs = rollout.countRuns(TARGET);
    for (let index = 0; index < CHECKED_REQUESTS; index += 1) await rollout.send();
    assert.equal(rollout.countRuns(TARGET) - runs, CHECKED_REQUESTS);
  });
});

test('a failing version is rolled back within its share and gets no further requests', async () => {
  await playOrder({ kind: 'fail', status: 500 }, async (rollout, state, elapsedMs) => {
    assert.equal(state, 'rolled_back');
    assert.ok(elapsedMs < MAX_ROLLBACK_MS, `rolled back after ${elapsedMs} ms`);
    const runs = rollout.countRuns(TARGET);
    const allowed = rollout.countRuns() * POLICY.maxShare + POLICY.slack;
    assert.ok(runs <= allowed, `${runs} runs of ${allowed}`);
    await wait(DIRECTIVE_MS);
    const runsBefore = rollout.countRuns(TARGET);
    const allBefore = rollout.countRuns();
    for (let index = 0; index < CHECKED_REQUESTS; index += 1) await rollout.send();
    assert.equal(rollout.countRuns(TARGET), runsBefore);
    assert.equal(rollout.countRuns() - allBefore, CHECKED_REQUESTS);
  });
});
