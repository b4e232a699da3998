/** The other nodes of the mesh, as the store lists them and as calls find them. */
import type { NodeId, ServiceName } from '../types/ids.js';
import type { EventLog } from './eventLog.js';
import type { NodeRecord } from './model.js';
import { PeerCalls } from './peerCalls.js';
import { PeerNode } from './peerNode.js';
import type { Candidate } from './instanceSelection.js';
import type { RevisionExchange } from './revisionExchange.js';
import type { WatchingNode } from './primaryWatchers.js';

/**
 * Time for which a node whose record was removed is still used, if it responds. Records that
 * were lost while the store was away come back within it.
 */
const UNLISTED_MS = 4000;

function isMoved(before: NodeRecord, after: NodeRecord): boolean {
  return before.address.host !== after.address.host || before.address.port !== after.address.port;
}

/** A node that may get a call, as placing sees it. */
export interface PeerCandidate extends Candidate {
  readonly peer: PeerNode;
}

/** All known nodes. */
export class Directory {
  private readonly nodes = new Map<NodeId, PeerNode>();

  constructor(
    private readonly ownId: NodeId,
    private readonly log: EventLog,
    private readonly seen: RevisionExchange,
  ) {}

  /** Applies the record of a node, with its revision when it was read in the store. */
  update(record: NodeRecord, revision = 0): void {
    const nowMs = performance.now();
    const known = this.nodes.get(record.nodeId);
    if (!known || isMoved(known.record, record)) {
      known?.calls.close();
      this.nodes.set(
        record.nodeId,
        new PeerNode(record, nowMs, revision, new PeerCalls(record.address, this.seen)),
      );
    } else {
      const isNewInstance =
        known.record.instanceId !== record.instanceId ||
        known.record.incarnation !== record.incarnation;
      known.record = record;
      known.revision = revision;
      known.updatedAtMs = nowMs;
      known.unlistedAtMs = undefined;
      if (isNewInstance) known.recordLoad(undefined, nowMs);
    }
    this.log.write('info', 'node-listed', {
      peer: record.nodeId,
      service: record.service,
      instance: record.instanceId,
      state: record.state,
    });
  }

  /** The record of a node is gone from the store. */
  markUnlisted(nodeId: NodeId, nowMs: number): void {
    const known = this.nodes.get(nodeId);
    if (!known || known.unlistedAtMs !== undefined) return;
    known.unlistedAtMs = nowMs;
    this.log.write('info', 'node-unlisted', { peer: nodeId });
  }

  /** Marks all nodes that a complete list does not name. */
  markMissing(listed: ReadonlySet<NodeId>, nowMs: number): void {
    for (const nodeId of this.nodes.keys()) {
      if (!listed.has(nodeId)) this.markUnlisted(nodeId, nowMs);
    }
  }

  /** Returns the nodes whose instances may get a call. */
  listCandidates(
    service: ServiceName,
    ownDataCentre: string,
    rank: number,
    nowMs: number,
  ): PeerCandidate[] {
    const candidates: PeerCandidate[] = [];
    for (const peer of this.listUsable(service, nowMs)) {
      if (peer.isAbsent(nowMs)) continue;
      candidates.push({
        peer,
        isSameDataCentre: peer.record.dataCentre === ownDataCentre,
        slots: Math.max(1, peer.record.slots),
        ...peer.getOutstanding(),
        load: peer.getLoad(nowMs),
        isUnreachable: peer.isUnreachable(nowMs),
        // The instance of this host is asked itself; that costs nothing.
        isFull: !this.isOwn(peer) && peer.isFull(rank, nowMs),
      });
    }
    return candidates;
  }

  /** Returns the other nodes that have been gone for a time. */
  listGone(silentMs: number, nowMs: number): PeerNode[] {
    return [...this.nodes.values()].filter(
      (node) => node.revision > 0 && !this.isOwn(node) && node.isGoneFor(silentMs, nowMs),
    );
  }

  /** Returns the nodes that serve and respond, this one included once it is listed. */
  listResponding(nowMs: number): WatchingNode[] {
    return [...this.nodes.values()]
      .filter((node) => node.unlistedAtMs === undefined && !node.isUnreachable(nowMs))
      .map(({ record }) => record)
      .filter(({ state }) => state === 'ready');
  }

  countNodes(): number {
    return Math.max(1, this.nodes.size);
  }

  isOwn(peer: PeerNode): boolean {
    return peer.record.nodeId === this.ownId;
  }

  close(): void {
    for (const node of this.nodes.values()) node.calls.close();
  }

  private listUsable(service: ServiceName, nowMs: number): PeerNode[] {
    const usable: PeerNode[] = [];
    for (const [nodeId, peer] of this.nodes) {
      if (peer.unlistedAtMs !== undefined && nowMs - peer.unlistedAtMs > UNLISTED_MS) {
        peer.calls.close();
        this.nodes.delete(nodeId);
        continue;
      }
      if (peer.record.service === service && peer.record.state === 'ready') usable.push(peer);
    }
    return usable;
  }
}
