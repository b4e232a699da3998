/** Applies the stored records of all nodes, including this one. */
import { brandText, type NodeId } from '../types/ids.js';
import type { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import { InvalidObjectLog } from './invalidObjectLog.js';
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
  /** Called when the list shows that no earlier process of this node has known an instance. */
  readonly onFirstProcess: () => void;
}

/** Listener for the node records. */
export class NodeListener implements KindListener {
  private isListReceived = false;

  private readonly invalidObjects: InvalidObjectLog;

  constructor(private readonly options: NodeListenerOptions) {
    this.invalidObjects = new InvalidObjectLog(options.log, 'record-invalid');
  }

  /** True once a complete list has been applied. */
  hasReceivedList(): boolean {
    return this.isListReceived;
  }

  applyList({ objects, revision }: StoreList): void {
    const { ownId, directory, publisher, onFirstProcess } = this.options;
    const usable = objects.filter((object) => this.applyNode(object));
    const listed = new Set(usable.map(({ name }) => brandText<NodeId>(name)));
    const isOwnListed = objects.some(({ name }) => name === ownId);
    if (!isOwnListed) publisher.recordStoredState(revision, undefined);
    if (!isOwnListed && !this.isListReceived) onFirstProcess();
    listed.add(ownId);
    directory.markUnlistedExcept(listed, performance.now());
    this.isListReceived = true;
  }

  applyEvent(event: StoreEvent): void {
    const { ownId, publisher } = this.options;
    switch (event.kind) {
      case 'stored':
        if (!this.applyNode(event.object)) this.markUnlisted(event.object.name);
        break;
      case 'removed':
        if (event.name === ownId) publisher.recordStoredState(event.revision, undefined);
        this.markUnlisted(event.name);
        break;
      default:
        throw new Error(`unknown event ${JSON.stringify(event satisfies never)}`);
    }
  }

  private markUnlisted(name: string): void {
    const { ownId, directory } = this.options;
    if (name !== ownId) directory.markUnlisted(brandText<NodeId>(name), performance.now());
  }

  /** Applies a record; returns false if it is not usable. */
  private applyNode({ name, revision, value }: StoredObject): boolean {
    const { ownId, instance, publisher, directory } = this.options;
    const decoded = decodePublishedNode(name, value);
    const isOwn = name === ownId;
    if (isOwn) {
      const published = decoded.unwrapOr(undefined);
      if (published?.left) instance.restoreDepartedInstance(published.left);
      publisher.recordStoredState(revision, published);
    }
    if (decoded.isErr()) {
      const { step, message } = decoded.error;
      this.invalidObjects.record(name, step, message, revision);
      return false;
    }
    if (!isOwn) directory.update(decoded.value.record, revision);
    return true;
  }
}
