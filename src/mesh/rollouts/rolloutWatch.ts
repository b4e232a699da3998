/** Watches the orders of rollouts in the store while this node coordinates. */
import type { Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import { computeDelayMs, waitMs as wait } from '../../utils/backoff.js';
import type { EventLog } from '../eventLog.js';
import { Cancellation } from '../signal.js';
import type { InvalidObject, MeshStore, StoredObject, StoreList } from '../store.js';

/** Wait of a watch while no rollout is open. */
const IDLE_WATCH_MS = 25_000;

/** Wait of a watch while a rollout is open; each response shows that the store is in reach. */
const OPEN_WATCH_MS = 1500;

const BACKOFF = { baseMs: 150, maxMs: 900 };

/** Receives what the store holds. */
export interface RolloutListener {
  applyList(list: StoreList): void;
  applyObject(object: StoredObject): void;
  applyInvalid(invalid: readonly InvalidObject[]): void;
  applyRemoval(name: string): void;
  recordContact(nowMs: number): void;
  hasOpen(): boolean;
}

export interface RolloutWatchOptions {
  readonly store: Pick<MeshStore, 'list' | 'watch'>;
  readonly kind: string;
  readonly listener: RolloutListener;
  readonly log: EventLog;
}

/** One watch, from its construction until it is stopped. */
export class RolloutWatch {
  private isStopped = false;

  /** Ends the present wait for changes. */
  private waitCancellation = new Cancellation();

  constructor(private readonly options: RolloutWatchOptions) {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
    this.waitCancellation.cancel();
  }

  private async run(): Promise<void> {
    const { log, kind } = this.options;
    let revision: number | undefined;
    let failures = 0;
    while (!this.isStopped) {
      const startedAtMs = performance.now();
      const reached = await (revision === undefined ? this.list() : this.follow(revision));
      if (this.isStopped) return;
      if (reached.isOk()) {
        if (failures > 0) log.write('info', 'store-regained', { peer: kind, failures });
        failures = 0;
        revision = reached.value;
        continue;
      }
      const { step, message, kind: errorKind } = reached.error;
      // The revision belongs to a history that the store no longer has.
      if (errorKind === 'stale' && revision !== undefined) {
        revision = undefined;
        continue;
      }
      if (failures === 0) log.write('warn', 'store-lost', { step, peer: kind, reason: message });
      failures += 1;
      const elapsedMs = performance.now() - startedAtMs;
      const delayMs = computeDelayMs(BACKOFF, failures) - elapsedMs;
      await wait(Math.max(computeDelayMs(BACKOFF, 0), delayMs));
    }
  }

  /** Lists the objects and returns the revision of the list; a stopped watch applies nothing. */
  private async list(): Promise<Result<number, StepError>> {
    const { store, kind, listener } = this.options;
    const startedAtMs = performance.now();
    const listed = await store.list(kind);
    return listed.map((list) => {
      if (this.isStopped) return list.revision;
      listener.recordContact(startedAtMs);
      listener.applyInvalid(list.invalid ?? []);
      listener.applyList(list);
      return list.revision;
    });
  }

  /** Waits for a change and returns the revision that was reached. */
  private async follow(revision: number): Promise<Result<number, StepError>> {
    const { store, kind, listener } = this.options;
    const cancellation = new Cancellation();
    this.waitCancellation = cancellation;
    const waitMs = listener.hasOpen() ? OPEN_WATCH_MS : IDLE_WATCH_MS;
    const startedAtMs = performance.now();
    const watched = await store.watch(kind, revision, waitMs, { cancellation });
    return watched.map((changes) => {
      if (this.isStopped) return changes.revision;
      // A response was sent at the latest when its wait was over, however late it arrives.
      listener.recordContact(Math.min(performance.now(), startedAtMs + waitMs));
      listener.applyInvalid(changes.invalid ?? []);
      for (const event of changes.events) {
        if (event.kind === 'stored') listener.applyObject(event.object);
        else listener.applyRemoval(event.name);
      }
      return Math.max(revision, changes.revision);
    });
  }
}
