/** The nodes of the mesh, as listed in the store and as observed through calls. */
import type { NodeId, ServiceName } from '../types/ids.js';
import type { EventLog } from './eventLog.js';
import type { NodeRecord } from './model.js';
import { PeerCalls } from './peerCalls.js';
import type { ResponseMemory } from './responseMemory.js';
import { PeerNode, type RoutePriority } from './peerNode.js';
import type { Candidate } from './instanceSelection.js';
import type { RevisionExchange } from './revisionExchange.js';
import { SuspensionDetector } from './suspensionDetector.js';

/**
 * Time for which a node is still used after its record was removed, if it responds. Records that
 * were lost while the store was unavailable are written again within this time.
 */
const UNLISTED_RETENTION_MS = 4000;

function hasAddressChanged(before: NodeRecord, after: NodeRecord): boolean {
  return before.address.host !== after.address.host || before.address.port !== after.address.port;
}

/** A candidate for a call, with its node. */
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
    private readonly detector = new SuspensionDetector(),
    private readonly memory?: ResponseMemory,
  ) {}

  /** Applies the record of a node. `revision` is 0 if the record was not read from the store. */
  update(record: NodeRecord, revision = 0): void {
    const nowMs = performance.now();
    const known = this.nodes.get(record.nodeId);
    if (!known || hasAddressChanged(known.record, record)) {
      known?.calls.close();
      this.nodes.set(
        record.nodeId,
        new PeerNode(
          record,
          nowMs,
          revision,
          new PeerCalls(record.address, this.seen, this.detector, this.memory),
        ),
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

  /** Records that the record of a node was removed from the store. */
  markUnlisted(nodeId: NodeId, nowMs: number): void {
    const known = this.nodes.get(nodeId);
    if (!known || known.unlistedAtMs !== undefined) return;
    known.unlistedAtMs = nowMs;
    this.log.write('info', 'node-unlisted', { peer: nodeId });
  }

  /** Marks all nodes that are missing from a complete list. */
  markUnlistedExcept(listed: ReadonlySet<NodeId>, nowMs: number): void {
    for (const nodeId of this.nodes.keys()) {
      if (!listed.has(nodeId)) this.markUnlisted(nodeId, nowMs);
    }
  }

  /** Returns the nodes whose instances may get a call of the given route. */
  listCandidates(
    service: ServiceName,
    ownDataCentre: string,
    route: RoutePriority,
    nowMs: number,
  ): PeerCandidate[] {
    const candidates: PeerCandidate[] = [];
    for (const peer of this.listReady(service, nowMs)) {
      if (peer.isUnavailable(nowMs)) continue;
      candidates.push({
        peer,
        isSameDataCentre: peer.record.dataCentre === ownDataCentre,
        slots: Math.max(1, peer.record.slots),
        ...peer.getOutstanding(),
        load: peer.getLoad(nowMs, this.countNodes()),
        isUnreachable: peer.isUnreachable(nowMs),
        // The local instance is always asked: asking it needs no network call.
        isFull: !this.isOwn(peer) && peer.isOverloaded(route, nowMs),
      });
    }
    return candidates;
  }

  /** Returns the other nodes in the store that have been unresponsive or leaving for `expiryMs`. */
  listExpired(expiryMs: number, nowMs: number): PeerNode[] {
    return [...this.nodes.values()].filter(
      (node) => node.revision > 0 && !this.isOwn(node) && node.isExpired(expiryMs, nowMs),
    );
  }

  /** Returns the nodes that are ready and respond, including this node once it is listed. */
  listResponding(nowMs: number): PeerNode[] {
    return [...this.nodes.values()].filter(
      (node) =>
        node.unlistedAtMs === undefined &&
        !node.isUnreachable(nowMs) &&
        node.record.state === 'ready',
    );
  }

  /** Returns the nodes in the store that are ready, whether they respond or not. */
  listReadyIds(): NodeId[] {
    const ready: NodeId[] = [];
    for (const [nodeId, { record, unlistedAtMs }] of this.nodes) {
      if (unlistedAtMs === undefined && record.state === 'ready') ready.push(nodeId);
    }
    return ready;
  }

  /** Forgets the revisions of the records, which belong to a history that the store has lost. */
  forgetRevisions(): void {
    for (const node of this.nodes.values()) node.revision = 0;
  }

  /** Returns the bytes of calls that wait in the connections to all nodes. */
  countUnsentBytes(): number {
    let bytes = 0;
    for (const { calls } of this.nodes.values()) bytes += calls.countUnsentBytes();
    return bytes;
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

  /** Returns the ready nodes of a service and evicts unlisted nodes after their retention time. */
  private listReady(service: ServiceName, nowMs: number): PeerNode[] {
    const ready: PeerNode[] = [];
    for (const [nodeId, peer] of this.nodes) {
      if (peer.unlistedAtMs !== undefined && nowMs - peer.unlistedAtMs > UNLISTED_RETENTION_MS) {
        peer.calls.close();
        this.nodes.delete(nodeId);
        continue;
      }
      if (peer.record.service === service && peer.isReady()) ready.push(peer);
    }
    return ready;
  }
}
