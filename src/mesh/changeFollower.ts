/**
 * Gets the changes of one kind from a source in the data centre of this node, so that the store is
 * read by few nodes of a large fleet.
 */
import type { NodeId } from '../types/ids.js';
import type { WatchRole } from './followedSources.js';
import type { SourceNode } from './configSources.js';
import type { EventLog } from './eventLog.js';
import type { Cancellation } from './signal.js';
import type { StoreChanges, StoreList } from './store.js';

/** Time for which a source that failed to answer, or that was behind, is not asked again. */
const AVOID_MS = 3000;

/** Changes that a source has sent. */
export type FollowedChanges =
  | { readonly kind: 'changes'; readonly changes: StoreChanges }
  | { readonly kind: 'list'; readonly list: StoreList };

/** Options of a follower. */
export interface ChangeFollowerOptions<Source extends SourceNode> {
  readonly kind: string;
  readonly log: EventLog;
  readonly own: () => SourceNode;
  /** Returns the nodes that are ready and respond. */
  readonly listNodes: () => readonly Source[];
  readonly chooseRole: (own: SourceNode, nodes: readonly Source[]) => WatchRole<Source>;
  /** Asks a source for the changes after a revision; undefined when it has no usable answer. */
  readonly request: (
    source: Source,
    revision: number,
    interruption: Cancellation,
  ) => Promise<FollowedChanges | undefined>;
}

export class ChangeFollower<Source extends SourceNode> {
  private readonly avoidedUntilMs = new Map<NodeId, number>();

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
    return chooseRole(
      own(),
      listNodes().filter(({ nodeId }) => !this.avoidedUntilMs.has(nodeId)),
    );
  }

  /** Records that this node cannot read the store, so that it follows others for a while. */
  recordStoreLost(): void {
    this.avoidedUntilMs.set(this.options.own().nodeId, performance.now() + AVOID_MS);
  }

  /**
   * Waits for the changes after a revision; undefined when the store has to be read. `interruption`
   * is cancelled when other nodes have seen later changes, which the source should have had.
   */
  async follow(revision: number, interruption: Cancellation): Promise<FollowedChanges | undefined> {
    const role = this.getRole();
    if (role.kind !== 'follower') {
      this.recordCurrent(undefined);
      return undefined;
    }
    for (const source of role.sources) {
      const followed = await this.options.request(source, revision, interruption);
      if (followed && !interruption.isCancelled()) {
        this.recordCurrent(source.nodeId);
        return followed;
      }
      this.avoid(source.nodeId, interruption.isCancelled() ? 'behind' : 'no answer');
      if (interruption.isCancelled()) break;
    }
    this.recordCurrent(undefined);
    return undefined;
  }

  private avoid(nodeId: NodeId, reason: string): void {
    const { log, kind } = this.options;
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
