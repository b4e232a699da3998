/**
 * Gets the changes of one kind from a source in the data centre of this node, so that the store is
 * read by few nodes of a large fleet.
 *
 * When the sources do not read the store, the nodes after them in the order of sources take over, a
 * few at a time. If all nodes turned to the store at once, a slow store would get the most calls
 * when it can answer the fewest.
 */
import type { NodeId } from '../types/ids.js';
import { waitMs as wait } from '../utils/backoff.js';
import type { WatchRole } from './followedSources.js';
import type { SourceNode } from './configSources.js';
import type { EventLog } from './eventLog.js';
import type { InterruptReason } from './kindPosition.js';
import type { Cancellation } from './signal.js';
import type { StoreChanges, StoreList } from './store.js';

/** Time for which a source that failed to answer, or that was behind, is not asked again. */
const AVOID_MS = 3000;

/** Time for which a node that could not read the store follows others before it tries again. */
const STORE_RETRY_MS = 1000;

/** Time for which a source may be without the store before the next nodes take over. */
const TAKEOVER_MS = 1000;

/** Pause before sources that are without the store are asked again. */
const RETRY_MS = 200;

/** Changes that a source has sent. */
export type FollowedChanges =
  | { readonly kind: 'changes'; readonly changes: StoreChanges }
  | { readonly kind: 'list'; readonly list: StoreList };

/** Outcome of an attempt to get changes from sources. */
export type FollowOutcome =
  | FollowedChanges
  /** The store has to be read. */
  | { readonly kind: 'store' }
  /** Sources were left, or are without the store: the role of this node has to be chosen again. */
  | { readonly kind: 'again' };

/** Interruption of an attempt, with its reason once it is cancelled. */
export interface FollowInterruption {
  readonly cancellation: Cancellation;
  readonly getReason: () => InterruptReason | undefined;
}

/** Options of a follower. */
export interface ChangeFollowerOptions<Source extends SourceNode> {
  readonly kind: string;
  readonly log: EventLog;
  readonly own: () => SourceNode;
  /** Returns the nodes that are ready and respond. */
  readonly listNodes: () => readonly Source[];
  readonly chooseRole: (
    own: SourceNode,
    nodes: readonly Source[],
    isAvoided: (nodeId: NodeId) => boolean,
  ) => WatchRole<Source>;
  /**
   * Asks a source for the changes after a revision; `store-lost` when it does not read the store,
   * undefined when it has no usable answer.
   */
  readonly request: (
    source: Source,
    revision: number,
    interruption: Cancellation,
  ) => Promise<FollowedChanges | 'store-lost' | undefined>;
}

type LeaveReason = 'no answer' | 'no store' | InterruptReason;

export class ChangeFollower<Source extends SourceNode> {
  private readonly avoidedUntilMs = new Map<NodeId, number>();

  /** Sources that were without the store when they were last asked, and since when. */
  private readonly withoutStoreSinceMs = new Map<NodeId, number>();

  /** Source that gave the latest answer; undefined while the store is read. */
  private current: NodeId | undefined;

  constructor(private readonly options: ChangeFollowerOptions<Source>) {}

  /** Returns how this node gets changes at present. */
  getRole(): WatchRole<Source> {
    const { own, listNodes, chooseRole } = this.options;
    const nowMs = performance.now();
    for (const [nodeId, untilMs] of this.avoidedUntilMs) {
      if (nowMs >= untilMs) this.avoidedUntilMs.delete(nodeId);
    }
    return chooseRole(own(), listNodes(), (nodeId) => this.avoidedUntilMs.has(nodeId));
  }

  /** Records that this node cannot read the store, so that it follows others for a while. */
  recordStoreLost(): void {
    this.avoidedUntilMs.set(this.options.own().nodeId, performance.now() + STORE_RETRY_MS);
  }

  /**
   * Waits for the changes after a revision. The interruption is cancelled when other nodes have
   * seen later changes, which the source should have had, or when nothing confirms that there are
   * none.
   */
  async follow(revision: number, interruption: FollowInterruption): Promise<FollowOutcome> {
    const role = this.getRole();
    if (role.kind !== 'follower') {
      this.recordCurrent(undefined);
      return { kind: 'store' };
    }
    const { cancellation, getReason } = interruption;
    let hasAnswer = false;
    for (const source of role.sources) {
      const followed = await this.options.request(source, revision, cancellation);
      if (cancellation.isCancelled()) {
        this.leaveInterrupted(source, role.sources, getReason());
        return { kind: 'again' };
      }
      if (followed === 'store-lost') {
        this.recordWithoutStore(source.nodeId);
        hasAnswer = true;
      } else if (followed) {
        this.withoutStoreSinceMs.delete(source.nodeId);
        this.recordCurrent(source.nodeId);
        return followed;
      } else {
        this.avoid(source.nodeId, 'no answer');
      }
    }
    this.recordCurrent(undefined);
    if (!hasAnswer) return { kind: 'store' };
    await wait(RETRY_MS);
    return { kind: 'again' };
  }

  /** Leaves the source that was asked, or all when none of them has confirmed that all is known. */
  private leaveInterrupted(
    asked: Source,
    sources: readonly Source[],
    reason: InterruptReason = 'behind',
  ): void {
    const left = reason === 'unconfirmed' ? sources : [asked];
    for (const { nodeId } of left) this.avoid(nodeId, reason);
  }

  private recordWithoutStore(nodeId: NodeId): void {
    const nowMs = performance.now();
    const sinceMs = this.withoutStoreSinceMs.get(nodeId) ?? nowMs;
    this.withoutStoreSinceMs.set(nodeId, sinceMs);
    if (nowMs - sinceMs >= TAKEOVER_MS) this.avoid(nodeId, 'no store');
  }

  private avoid(nodeId: NodeId, reason: LeaveReason): void {
    const { log, kind } = this.options;
    if (reason !== 'no store') this.withoutStoreSinceMs.delete(nodeId);
    this.avoidedUntilMs.set(nodeId, performance.now() + AVOID_MS);
    log.write('info', 'source-left', { step: 'changes.follow', peer: nodeId, kind, reason });
  }

  private recordCurrent(nodeId: NodeId | undefined): void {
    if (this.current === nodeId) return;
    this.current = nodeId;
    const { log, kind } = this.options;
    log.write('info', 'source-followed', { peer: nodeId ?? 'store', kind });
  }
}
