/**
 * The coordinator's part of rollouts: reads the orders in the store, decides on them by the reports
 * of the nodes, and writes their status.
 */
import type { ServiceName, SoftwareVersion } from '../../types/ids.js';
import type { CoordinatorReport, RolloutDirective, RolloutSource } from '../coordination/model.js';
import type { EventLog } from '../eventLog.js';
import { InvalidObjectLog } from '../invalidObjectLog.js';
import type { MeshMetrics } from '../meshMetrics.js';
import type { RolloutPolicy } from '../model.js';
import type { InvalidObject, MeshStore, StoredObject, StoreList } from '../store.js';
import type { RolloutCodec, RolloutOrder, RolloutStatus, StoredState } from './model.js';
import { Rollout, type RolloutStep } from './rollout.js';
import type { ComparedCounts } from './runComparison.js';
import { RolloutWatch, type RolloutListener } from './rolloutWatch.js';

/** Interval at which decisions are taken; it is short against the times before a deadline. */
const ADVANCE_INTERVAL_MS = 100;

/** Age of the last response of the store from which no requests go to an unproven version. */
const MAX_CONTACT_AGE_MS = 3000;

/** Pause after a failed write of a status. */
const WRITE_PAUSE_MS = 300;

export interface RolloutCoordinatorOptions {
  readonly store: Pick<MeshStore, 'list' | 'watch' | 'read' | 'replaceStatus'>;
  readonly codec: RolloutCodec;
  readonly getPolicy: () => RolloutPolicy | undefined;
  readonly log: EventLog;
  readonly metrics: Pick<MeshMetrics, 'count'>;
  /** Returns the time in Unix milliseconds. */
  readonly getUnixMs?: () => number;
  /** Returns the time on the `performance.now` scale. */
  readonly getNowMs?: () => number;
}

/** An order with its object in the store. */
interface OpenOrder {
  readonly rollout: Rollout;
  readonly deadlineUnixMs: number;
  revision: number;
  /** Time from which the status may be written again. */
  writeAtMs: number;
}

/** Progress of a rollout as this coordinator sees it. */
export interface RolloutProgress extends ComparedCounts {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  readonly state: RolloutStep['state'];
  /** Time since the order was first seen by a coordinator. */
  readonly ageMs: number;
}

function isSameOrder(one: RolloutOrder, other: RolloutOrder): boolean {
  return one.service === other.service && one.targetVersion === other.targetVersion;
}

/**
 * Handles the orders of all services. It reads the store only between `setActive(true)` and
 * `setActive(false)`, and then forgets the orders: the store and the reports bring them back.
 */
export class RolloutCoordinator implements RolloutSource, RolloutListener {
  /** Orders by the names of their objects. */
  private readonly orders = new Map<string, OpenOrder>();

  /** Names of the objects whose status is being written. */
  private readonly writing = new Set<string>();

  private readonly invalidOrders: InvalidObjectLog;

  private watch: RolloutWatch | undefined;

  private timer: NodeJS.Timeout | undefined;

  private contactAtMs = -Infinity;

  private readonly getNowMs: () => number;

  constructor(private readonly options: RolloutCoordinatorOptions) {
    this.getNowMs = options.getNowMs ?? (() => performance.now());
    this.invalidOrders = new InvalidObjectLog(options.log, 'rollout-invalid');
  }

  setActive(isActive: boolean): void {
    if (isActive === (this.watch !== undefined)) return;
    this.watch?.stop();
    clearInterval(this.timer);
    this.orders.clear();
    this.contactAtMs = -Infinity;
    this.watch = undefined;
    if (!isActive) return;
    const { store, codec, log } = this.options;
    this.watch = new RolloutWatch({ store, kind: codec.kind, listener: this, log });
    this.timer = setInterval(() => this.advance(this.getNowMs()), ADVANCE_INTERVAL_MS).unref();
  }

  close(): void {
    this.setActive(false);
  }

  recordReport({ runs }: CoordinatorReport, nowMs: number): void {
    if (!runs) return;
    for (const { rollout } of this.orders.values()) {
      if (rollout.order.service === runs.service) rollout.recordRuns(runs, nowMs);
    }
  }

  listDirectives(nowMs: number): readonly RolloutDirective[] {
    const policy = this.options.getPolicy();
    if (!policy) return [];
    const hasContact = this.hasContact(nowMs);
    const directives = new Map<ServiceName, RolloutDirective>();
    for (const { rollout } of this.orders.values()) {
      directives.set(rollout.order.service, rollout.getDirective(policy, hasContact, nowMs));
    }
    return [...directives.values()];
  }

  /** Lists the progress of each service's rollout. */
  listProgress(): RolloutProgress[] {
    const progress = new Map<ServiceName, RolloutProgress>();
    for (const { rollout, deadlineUnixMs } of this.orders.values()) {
      const { service, targetVersion: version } = rollout.order;
      const ageMs = this.computeAgeMs(rollout.order, deadlineUnixMs);
      const state = rollout.getState();
      progress.set(service, { service, version, state, ageMs, ...rollout.getCounts() });
    }
    return [...progress.values()];
  }

  /** Takes the decisions that are due and writes what the store does not hold yet. */
  advance(nowMs: number): void {
    const hasContact = this.hasContact(nowMs);
    for (const [name, order] of this.orders) {
      order.rollout.advance(nowMs, hasContact);
      const state = order.rollout.getUnwritten();
      if (state === undefined || this.writing.has(name) || nowMs < order.writeAtMs) continue;
      this.writing.add(name);
      void this.write(name, order, state).then((writeAtMs) => {
        order.writeAtMs = writeAtMs;
        this.writing.delete(name);
      });
    }
  }

  applyList({ objects }: StoreList): void {
    const listed = new Set(objects.map(({ name }) => name));
    for (const name of [...this.orders.keys()]) if (!listed.has(name)) this.applyRemoval(name);
    for (const object of objects) this.applyObject(object);
  }

  applyObject(object: StoredObject): void {
    const { codec } = this.options;
    const { name, revision } = object;
    const order = codec.decodeOrder(object.value);
    if (typeof order === 'string') {
      this.invalidOrders.record(name, 'rollout.decode', order, revision);
      this.applyRemoval(name);
      return;
    }
    const status = codec.decodeStatus(object.status);
    const ownStatus = status?.targetVersion === order.targetVersion ? status : undefined;
    const known = this.orders.get(name);
    if (known && isSameOrder(known.rollout.order, order)) {
      known.revision = revision;
      known.rollout.recordStored(ownStatus?.state);
      return;
    }
    if (known) this.applyRemoval(name);
    this.addOrder(name, order, ownStatus, revision);
  }

  applyInvalid(invalid: readonly InvalidObject[]): void {
    for (const { name, error } of invalid) {
      this.invalidOrders.record(name, error.step, error.message);
    }
  }

  applyRemoval(name: string): void {
    const known = this.orders.get(name);
    if (!known) return;
    this.orders.delete(name);
    const { service, targetVersion } = known.rollout.order;
    const fields = { service, version: targetVersion, state: 'ended', decidedBy: 'order' };
    this.options.log.write('info', 'rollout-step', fields);
    this.options.metrics.count('rollout_step', 'state="ended"');
  }

  recordContact(nowMs: number): void {
    this.contactAtMs = Math.max(this.contactAtMs, nowMs);
  }

  hasOpen(): boolean {
    return [...this.orders.values()].some(
      ({ rollout }) => !rollout.isFinal() || rollout.getUnwritten() !== undefined,
    );
  }

  private hasContact(nowMs: number): boolean {
    return nowMs - this.contactAtMs <= MAX_CONTACT_AGE_MS;
  }

  private addOrder(
    name: string,
    order: RolloutOrder,
    status: RolloutStatus | undefined,
    revision: number,
  ): void {
    const nowMs = this.getNowMs();
    const unixMs = (this.options.getUnixMs ?? Date.now)();
    // The clock of the node that wrote a deadline may differ; no order gets more than its duration.
    const latestUnixMs = unixMs + order.durationMs;
    const deadlineUnixMs = Math.min(status?.deadlineUnixMs ?? latestUnixMs, latestUnixMs);
    const deadlineAtMs = nowMs + deadlineUnixMs - unixMs;
    const onStep = (step: RolloutStep) => this.recordStep(order, step, deadlineUnixMs);
    const rollout = new Rollout(order, deadlineAtMs, nowMs, onStep);
    this.orders.set(name, {
      rollout,
      deadlineUnixMs: Math.round(deadlineUnixMs),
      revision,
      writeAtMs: -Infinity,
    });
    rollout.recordStored(status?.state);
    this.advance(nowMs);
  }

  /** Returns the time since a coordinator first saw the order. */
  private computeAgeMs({ durationMs }: RolloutOrder, deadlineUnixMs: number): number {
    const unixMs = (this.options.getUnixMs ?? Date.now)();
    return Math.round(unixMs - deadlineUnixMs + durationMs);
  }

  private recordStep(
    order: RolloutOrder,
    { state, decidedBy }: RolloutStep,
    deadlineUnixMs: number,
  ): void {
    const { log, metrics } = this.options;
    const { service, targetVersion } = order;
    const ageMs = this.computeAgeMs(order, deadlineUnixMs);
    const fields = { service, version: targetVersion, state, decidedBy, ageMs };
    log.write(state === 'rolled_back' ? 'warn' : 'info', 'rollout-step', fields);
    metrics.count('rollout_step', `state="${state}"`);
  }

  /**
   * Writes a state unless the object has changed; a changed one is read again. Returns the time
   * from which the status may be written again.
   */
  private async write(name: string, order: OpenOrder, state: StoredState): Promise<number> {
    const { store, codec, log } = this.options;
    const { rollout, deadlineUnixMs, revision } = order;
    const { targetVersion } = rollout.order;
    const status = codec.encodeStatus({ state, targetVersion, deadlineUnixMs });
    const written = await store.replaceStatus(codec.kind, name, status, revision);
    const isCurrent = () => this.orders.get(name) === order;
    if (written.isOk()) {
      this.recordContact(this.getNowMs());
      if (isCurrent()) this.applyNewer(written.value, order);
      return -Infinity;
    }
    const { step, kind, message } = written.error;
    log.write('warn', 'rollout-unwritten', { step, peer: name, state, reason: message });
    const writeAtMs = this.getNowMs() + WRITE_PAUSE_MS;
    if (kind !== 'conflict' && kind !== 'answer-lost') return writeAtMs;
    const read = await store.read(codec.kind, name);
    if (read.isErr()) return writeAtMs;
    if (isCurrent()) this.applyNewer(read.value, order);
    return -Infinity;
  }

  /** Applies an object that was read beside the watch, unless the watch has seen a later change. */
  private applyNewer(object: StoredObject, { revision }: OpenOrder): void {
    if (object.revision >= revision) this.applyObject(object);
  }
}
