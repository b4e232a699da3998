/**
 * The latest change to the record of each node, from which a node answers requests of others. It
 * performs no I/O.
 */
import type { StoredObject, StoreEvent, StoreList } from './store.js';

/** Number of removed records that are remembered, which bounds memory use. */
const MAX_REMOVALS = 512;

function getRevision(event: StoreEvent): number {
  return event.kind === 'stored' ? event.object.revision : event.revision;
}

export class NodeHistory {
  private readonly stored = new Map<string, StoredObject>();

  /** Revisions of the removals by name, in the order in which they were received. */
  private readonly removals = new Map<string, number>();

  /** Revision from which on all changes are known; undefined before the first list. */
  private completeFrom: number | undefined;

  /** Forgets everything: the revisions belong to a history that the store has lost. */
  forget(): void {
    this.stored.clear();
    this.removals.clear();
    this.completeFrom = undefined;
  }

  applyList({ objects, revision }: StoreList): void {
    this.forget();
    for (const object of objects) this.stored.set(object.name, object);
    this.completeFrom = revision;
  }

  applyEvent(event: StoreEvent): void {
    switch (event.kind) {
      case 'stored':
        this.stored.set(event.object.name, event.object);
        this.removals.delete(event.object.name);
        break;
      case 'removed':
        this.stored.delete(event.name);
        this.recordRemoval(event.name, event.revision);
        break;
      default:
        throw new Error(`unknown event ${JSON.stringify(event satisfies never)}`);
    }
  }

  /** Returns the changes after a revision; undefined if some of them may be unknown. */
  findChanges(revision: number): readonly StoreEvent[] | undefined {
    if (this.completeFrom === undefined || revision < this.completeFrom) return undefined;
    const changes: StoreEvent[] = [];
    for (const object of this.stored.values()) {
      if (object.revision > revision) changes.push({ kind: 'stored', object });
    }
    for (const [name, removedAt] of this.removals) {
      if (removedAt > revision) changes.push({ kind: 'removed', name, revision: removedAt });
    }
    return changes.sort((one, other) => getRevision(one) - getRevision(other));
  }

  /** Returns the stored records; undefined before the first list. */
  listObjects(): readonly StoredObject[] | undefined {
    return this.completeFrom === undefined ? undefined : [...this.stored.values()];
  }

  private recordRemoval(name: string, revision: number): void {
    this.removals.delete(name);
    this.removals.set(name, revision);
    if (this.removals.size <= MAX_REMOVALS) return;
    const [oldest] = this.removals;
    if (!oldest) return;
    this.removals.delete(oldest[0]);
    this.completeFrom = Math.max(this.completeFrom ?? 0, oldest[1]);
  }
}
