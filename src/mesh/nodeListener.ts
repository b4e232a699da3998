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

  /** Applies a list; returns it with the usable records only, in the form for other nodes. */
  applyList(list: StoreList): StoreList {
    const { ownId, directory, publisher, onFirstProcess } = this.options;
    const { objects, revision } = list;
    const usable: StoredObject[] = [];
    for (const object of objects) {
      const applied = this.applyNode(object);
      if (applied) usable.push(applied);
    }
    const listed = new Set(usable.map(({ name }) => brandText<NodeId>(name)));
    const isOwnListed = objects.some(({ name }) => name === ownId);
    if (!isOwnListed) publisher.recordStoredState(revision, undefined);
    if (!isOwnListed && !this.isListReceived) onFirstProcess();
    listed.add(ownId);
    directory.markUnlistedExcept(listed, performance.now());
    this.isListReceived = true;
    return { ...list, objects: usable };
  }

  /**
   * Applies an event; returns it in the form for other nodes. To them, a record that is not usable
   * has been removed.
   */
  applyEvent(event: StoreEvent): StoreEvent {
    const { ownId, publisher } = this.options;
    switch (event.kind) {
      case 'stored': {
        const { name, revision } = event.object;
        const applied = this.applyNode(event.object);
        if (applied) return { kind: 'stored', object: applied };
        this.markUnlisted(name);
        return { kind: 'removed', name, revision };
      }
      case 'removed':
        if (event.name === ownId) publisher.recordStoredState(event.revision, undefined);
        this.markUnlisted(event.name);
        return event;
      default:
        throw new Error(`unknown event ${JSON.stringify(event satisfies never)}`);
    }
  }

  private markUnlisted(name: string): void {
    const { ownId, directory } = this.options;
    if (name !== ownId) directory.markUnlisted(brandText<NodeId>(name), performance.now());
  }

  /** Applies a record; returns it with the known fields only, undefined if it is not usable. */
  private applyNode({ name, revision, value }: StoredObject): StoredObject | undefined {
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
      return undefined;
    }
    if (!isOwn) directory.update(decoded.value.record, revision);
    return { name, revision, value: decoded.value };
  }
}
