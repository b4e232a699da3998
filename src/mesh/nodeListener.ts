/** Applies the records of all nodes, its own one included, as the store shows them. */
import { brandText, type NodeId } from '../types/ids.js';
import type { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import type { LocalInstance } from './localInstance.js';
import { decodePublishedNode } from './nodeRecord.js';
import type { Publisher } from './publisher.js';
import type { StoredObject, StoreEvent, StoreList } from './store.js';
import type { KindListener } from './watchKind.js';

/** What the listener keeps up to date. */
export interface NodeListenerOptions {
  readonly ownId: NodeId;
  readonly instance: LocalInstance;
  readonly publisher: Publisher;
  readonly directory: Directory;
  readonly log: EventLog;
}

/** Listens to the kind of the node records. */
export class NodeListener implements KindListener {
  private isListed = false;

  constructor(private readonly options: NodeListenerOptions) {}

  /** True once a complete list was read. */
  hasListed(): boolean {
    return this.isListed;
  }

  applyList({ objects, revision }: StoreList): void {
    const { ownId, directory, publisher } = this.options;
    for (const object of objects) this.applyNode(object);
    const listed = new Set(objects.map(({ name }) => brandText<NodeId>(name)));
    if (!listed.has(ownId)) publisher.recordSeen(revision, undefined);
    listed.add(ownId);
    directory.markMissing(listed, performance.now());
    this.isListed = true;
  }

  applyEvent(event: StoreEvent): void {
    const { ownId, directory, publisher } = this.options;
    switch (event.kind) {
      case 'stored':
        this.applyNode(event.object);
        break;
      case 'removed':
        if (event.name === ownId) publisher.recordSeen(event.revision, undefined);
        else directory.markUnlisted(brandText<NodeId>(event.name), performance.now());
        break;
      default:
        throw new Error(`unknown event ${JSON.stringify(event satisfies never)}`);
    }
  }

  private applyNode({ name, revision, value }: StoredObject): void {
    const { ownId, instance, publisher, directory, log } = this.options;
    const published = decodePublishedNode(value);
    if (name === ownId) {
      if (published?.left) instance.restoreLeft(published.left);
      publisher.recordSeen(revision, published);
      if (published) return;
    }
    if (!published || published.record.nodeId !== name) {
      log.write('warn', 'record-invalid', { peer: name });
      return;
    }
    directory.update(published.record, revision);
  }
}
