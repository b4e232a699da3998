/** Coordinators of one rollout on a played clock, with a store in memory and two instances. */
import { setImmediate as yieldTurn } from 'node:timers/promises';
import { err, ok } from 'neverthrow';
import { ROLLOUT_CODEC } from '../../../platform/rollouts.js';
import { buildError } from '../../../src/errors.js';
import type { InstanceRuns, RolloutDirective } from '../../../src/mesh/coordination/model.js';
import type { EventLog } from '../../../src/mesh/eventLog.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import { RolloutCoordinator } from '../../../src/mesh/rollouts/rolloutCoordinator.js';
import { RunCounter } from '../../../src/mesh/rollouts/runCounter.js';
import type { StoredObject } from '../../../src/mesh/store.js';
import { brandText, type InstanceId } from '../../../src/types/ids.js';

export const SERVICE = 'pads';
export const OLD = 'v1';
export const TARGET = 'v2';
export const DURATION_MS = 20_000;

const STEP_MS = 100;
const REPORT_INTERVAL_MS = 400;
const OLD_RUNS_PER_STEP = 10;
const RUN_MS = 40;

/** Clock of the nodes at the played time 0. */
const START_UNIX_MS = 1_700_000_000_000;

export interface WrittenStatus {
  readonly State: string;
  readonly TargetVersion: string;
  readonly DeadlineUnixMs: number;
}

/** How runs of the new version go. */
export interface TargetRuns {
  readonly perStep: number;
  /** Every n-th run fails; 0 for none. */
  readonly failEvery?: number;
  readonly runMs?: number;
  readonly route?: string;
}

export const GOOD: TargetRuns = { perStep: 1 };
export const FAILING: TargetRuns = { perStep: 1, failEvery: 3 };

function createInstance(name: string) {
  const instanceId = brandText<InstanceId>(name);
  const counter = new RunCounter();
  counter.reset(instanceId);
  return { instanceId, counter };
}

export class Stage {
  nowMs = 0;

  /** Fault of the store: calls fail, or writes are executed and their responses are lost. */
  fault: 'none' | 'away' | 'lose-answers' = 'none';

  /** Called between the receipt of a write and its execution. */
  beforeWrite: (() => void) | undefined;

  readonly steps: string[] = [];

  /** All statuses that were stored, in order. */
  readonly written: WrittenStatus[] = [];

  readonly warnings: string[] = [];

  private object: StoredObject | undefined;

  private revision = 1;

  private readonly alive = new Set<RolloutCoordinator>();

  private oldInstance = createInstance('old');

  private targetInstance = createInstance('new');

  private targetRunCount = 0;

  putOrder(targetVersion = TARGET, spec: object = {}): void {
    const value = { Service: SERVICE, TargetVersion: targetVersion, Duration: '20s', ...spec };
    this.store({ name: SERVICE, revision: 0, value, status: this.object?.status });
  }

  removeOrder(): void {
    this.object = undefined;
    this.revision += 1;
    for (const coordinator of this.alive) coordinator.applyRemoval(SERVICE);
  }

  getStatus(): WrittenStatus | undefined {
    return this.object?.status as WrittenStatus | undefined;
  }

  /** Puts back a stored status, as a store that was restored from an older copy. */
  restoreStatus(status: WrittenStatus | undefined): void {
    this.store({ ...this.object!, status });
  }

  /** Raises the revision of the order by a change that no watch has delivered yet. */
  changeUnseen(): void {
    this.revision += 1;
    this.object = { ...this.object!, revision: this.revision };
  }

  /** Starts a coordinator, whose clock is `clockOffsetMs` ahead. */
  startCoordinator(clockOffsetMs = 0): RolloutCoordinator {
    const log: EventLog = {
      write: (level, event, fields = {}) => {
        if (event === 'rollout-step') this.steps.push(String(fields.state));
        else if (level === 'warn') this.warnings.push(event);
      },
    };
    const unavailable = () => err(buildError('unavailable', 'store', 'store', 'away'));
    const coordinator = new RolloutCoordinator({
      codec: ROLLOUT_CODEC,
      getPolicy: () => ({ maxShare: 0.1, slack: 50, rollbackMs: 5000 }),
      log,
      metrics: new MeshMetrics(),
      getNowMs: () => this.nowMs,
      getUnixMs: () => START_UNIX_MS + this.nowMs + clockOffsetMs,
      store: {
        list: async () => unavailable(),
        watch: async () => unavailable(),
        read: async () => {
          if (this.fault === 'away' || !this.object) return unavailable();
          return ok(this.object);
        },
        replaceStatus: async (_kind, _name, status, revision) => {
          if (this.fault === 'away' || !this.alive.has(coordinator)) return unavailable();
          this.beforeWrite?.();
          // A coordinator that was killed meanwhile has not sent its write.
          if (!this.alive.has(coordinator)) return unavailable();
          if (this.object?.revision !== revision) {
            return err(buildError('conflict', 'store.status', 'store', 'status 409'));
          }
          this.written.push(status as WrittenStatus);
          const stored = this.store({ ...this.object, status }, coordinator);
          if (this.fault !== 'lose-answers') return ok(stored);
          return err(buildError('answer-lost', 'store.status', 'store', 'timeout'));
        },
      },
    });
    this.alive.add(coordinator);
    if (this.fault !== 'away') this.list(coordinator);
    return coordinator;
  }

  kill(coordinator: RolloutCoordinator): void {
    this.alive.delete(coordinator);
    coordinator.close();
  }

  restartTarget(name: string): void {
    this.targetInstance = createInstance(name);
  }

  /** Plays for some time; the nodes report to the given coordinators. */
  async play(
    durationMs: number,
    target: TargetRuns,
    reportTo: Iterable<RolloutCoordinator> = this.alive,
  ): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      this.nowMs += STEP_MS;
      this.addRuns(target);
      for (const coordinator of this.alive) {
        if (this.fault !== 'away') coordinator.recordContact(this.nowMs);
      }
      if (this.nowMs % REPORT_INTERVAL_MS === 0) {
        for (const coordinator of reportTo) this.report(coordinator);
      }
      for (const coordinator of this.alive) coordinator.advance(this.nowMs);
      // The promises of a write and of the read after it.
      for (let turn = 0; turn < 3; turn += 1) await yieldTurn();
    }
  }

  getDirective(coordinator: RolloutCoordinator): RolloutDirective | undefined {
    return coordinator.listDirectives(this.nowMs)[0];
  }

  list(coordinator: RolloutCoordinator): void {
    coordinator.recordContact(this.nowMs);
    coordinator.applyList({ objects: this.object ? [this.object] : [], revision: this.revision });
  }

  /** Stores the object and tells all coordinators but the one that wrote it. */
  private store(object: StoredObject, writer?: RolloutCoordinator): StoredObject {
    this.revision += 1;
    const stored = { ...object, revision: this.revision };
    this.object = stored;
    if (this.fault === 'away') return stored;
    for (const coordinator of this.alive) {
      if (coordinator !== writer) coordinator.applyObject(stored);
    }
    return stored;
  }

  private addRuns({ perStep, failEvery = 0, runMs = RUN_MS, route = 'read' }: TargetRuns): void {
    for (let index = 0; index < OLD_RUNS_PER_STEP; index += 1) {
      const { instanceId, counter } = this.oldInstance;
      for (const name of ['read', 'write']) {
        counter.record(instanceId, brandText(name), RUN_MS + index, false);
      }
    }
    for (let index = 0; index < perStep; index += 1) {
      this.targetRunCount += 1;
      const hasFailed = failEvery > 0 && this.targetRunCount % failEvery === 0;
      const { instanceId, counter } = this.targetInstance;
      counter.record(instanceId, brandText(route), runMs, hasFailed);
    }
  }

  private report(coordinator: RolloutCoordinator): void {
    const versions = [
      [this.oldInstance, OLD],
      [this.targetInstance, TARGET],
    ] as const;
    for (const [{ instanceId, counter }, version] of versions) {
      const runs: InstanceRuns = {
        service: brandText(SERVICE),
        version: brandText(version),
        instanceId,
        routes: counter.listRuns(instanceId),
      };
      const node = { node: brandText<never>(instanceId), process: 'p', mayBridge: true };
      const tokens = { steadyMs: 0, needs: [], returns: [], holds: [] };
      coordinator.recordReport({ ...node, ...tokens, runs }, this.nowMs);
    }
  }
}
