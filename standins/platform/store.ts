/** Objects of the platform stand-in, with versions from one counter and a bounded change log. */

/** One stored object. */
export interface StoredObject {
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

/** One change as a watch answers it; the value of a removed object is null. */
export interface Change extends StoredObject {
  readonly deleted: boolean;
}

/** What a conditional write requires: absence, or a certain version. */
export type Condition =
  { readonly kind: 'absent' } | { readonly kind: 'version'; readonly version: number };

/** Result of a conditional write. */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number; readonly created: boolean }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'missing' };

interface LoggedChange extends Change {
  readonly objectKind: string;
  readonly bytes: number;
}

/** Bounds of the change log; a watch from before its first entry has to read again. */
export interface LogBounds {
  readonly maxChanges: number;
  readonly maxBytes: number;
}

const DEFAULT_BOUNDS: LogBounds = { maxChanges: 4096, maxBytes: 64 * 1024 * 1024 };

/** Versioned objects by kind and name. */
export class ObjectStore {
  readonly #objects = new Map<string, Map<string, StoredObject>>();

  #log: LoggedChange[] = [];

  #logBytes = 0;

  /** Version of the newest change that has left the log. */
  #trimmed = 0;

  #version = 0;

  readonly #listeners = new Set<(kind: string, name: string) => void>();

  constructor(readonly bounds: LogBounds = DEFAULT_BOUNDS) {}

  /** Version of the newest change of any object. */
  get version(): number {
    return this.#version;
  }

  /** Oldest version from which a watch can still continue. */
  get oldestKnown(): number {
    return this.#trimmed;
  }

  getObject(kind: string, name: string): StoredObject | undefined {
    return this.#objects.get(kind)?.get(name);
  }

  listObjects(kind: string): StoredObject[] {
    return [...(this.#objects.get(kind)?.values() ?? [])];
  }

  /** Writes the object when the condition holds. */
  write(kind: string, name: string, value: unknown, condition: Condition, bytes = 0): WriteResult {
    const current = this.getObject(kind, name);
    if (condition.kind === 'absent' && current !== undefined) return { kind: 'conflict' };
    if (condition.kind === 'version' && current?.version !== condition.version) {
      return { kind: 'conflict' };
    }
    this.#version += 1;
    const stored = { name, version: this.#version, value };
    const ofKind = this.#objects.get(kind) ?? new Map<string, StoredObject>();
    this.#objects.set(kind, ofKind.set(name, stored));
    this.#record(kind, { ...stored, deleted: false }, bytes);
    return { kind: 'written', version: this.#version, created: current === undefined };
  }

  /** Removes the object when it has the expected version. */
  remove(kind: string, name: string, expected: number): WriteResult {
    const current = this.getObject(kind, name);
    if (current === undefined) return { kind: 'missing' };
    if (current.version !== expected) return { kind: 'conflict' };
    this.#objects.get(kind)?.delete(name);
    this.#version += 1;
    this.#record(kind, { name, version: this.#version, value: null, deleted: true }, 0);
    return { kind: 'written', version: this.#version, created: false };
  }

  /** Lists the changes of an object after a version; undefined when the log begins later. */
  listChanges(kind: string, name: string, from: number): Change[] | undefined {
    if (from < this.#trimmed || from > this.#version) return undefined;
    return this.#log
      .filter(
        (change) => change.version > from && change.objectKind === kind && change.name === name,
      )
      .map(({ version, value, deleted }) => ({ name, version, value, deleted }));
  }

  /** Calls the listener at each change; the returned function ends that. */
  onChange(listener: (kind: string, name: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #record(objectKind: string, change: Change, bytes: number): void {
    this.#log.push({ ...change, objectKind, bytes });
    this.#logBytes += bytes;
    while (this.#log.length > this.bounds.maxChanges || this.#logBytes > this.bounds.maxBytes) {
      const oldest = this.#log.shift();
      if (oldest === undefined) break;
      this.#logBytes -= oldest.bytes;
      this.#trimmed = oldest.version;
    }
    for (const listener of [...this.#listeners]) listener(objectKind, change.name);
  }
}
