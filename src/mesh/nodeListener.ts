/** Applies the stored records of all nodes, including this one. */
import { brandText, type NodeId } from '../types/ids.js';
import type { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import type { LocalInstance } from './localInstance.js';
import { decodePublishedNode } from './nodeRecord.js';
import type { Publisher } from './publisher.js';
import type { StoredObject, StoreEvent, StoreList } from './store.js';
import type { KindListener } from './watchKind.js';

/** Components that the listener updates. */
export interface NodeListenerOptions {
  readonly ownId: NodeId;
  readonly instance: LocalInstance;
  readonly publisher: Publisher;
  readonly directory: Directory;
  readonly log: EventLog;
}

/** Listener for the node records. */
export class NodeListener implements KindListener {
  private isListReceived = false;

  constructor(private readonly options: NodeListenerOptions) {}

  /** True once a complete list has been applied. */
  hasReceivedList(): boolean {
    return this.isListReceived;
  }

  applyList({ objects, revision }: StoreList): void {
    const { ownId, directory, publisher } = this.options;
    for (const object of objects) this.applyNode(object);
    const listed = new Set(objects.map(({ name }) => brandText<NodeId>(name)));
    if (!listed.has(ownId)) publisher.recordStoredState(revision, undefined);
    listed.add(ownId);
    directory.markUnlistedExcept(listed, performance.now());
    this.isListReceived = true;
  }

  applyEvent(event: StoreEvent): void {
    const { ownId, directory, publisher } = this.options;
    switch (event.kind) {
      case 'stored':
        this.applyNode(event.object);
        break;
      case 'removed':
        if (event.name === ownId) publisher.recordStoredState(event.revision, undefined);
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
      if (published?.left) instance.restoreDepartedInstance(published.left);
      publisher.recordStoredState(revision, published);
      if (published) return;
    }
    if (!published || published.record.nodeId !== name) {
      log.write('warn', 'record-invalid', { peer: name });
      return;
    }
    directory.update(published.record, revision);
  }
}
