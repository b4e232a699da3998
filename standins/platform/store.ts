/** Object store of the platform stand-in: one version counter and a bounded change log. */

export interface StoredObject {
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

/** Change as a watch returns it; the value of a removed object is null. */
export interface Change extends StoredObject {
  readonly deleted: boolean;
}

/** Precondition of a write: the object does not exist, or has the given version. */
export type Condition =
  { readonly kind: 'absent' } | { readonly kind: 'version'; readonly version: number };

export type WriteResult =
  | { readonly kind: 'written'; readonly version: number; readonly created: boolean }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'missing' };

interface LoggedChange extends Change {
  readonly objectKind: string;
  readonly bytes: number;
}

/** Limits of the change log; a watch from a version before its first entry has to read again. */
export interface LogBounds {
  readonly maxChanges: number;
  readonly maxBytes: number;
}

const DEFAULT_BOUNDS: LogBounds = { maxChanges: 4096, maxBytes: 64 * 1024 * 1024 };

/** Versioned objects, by kind and name. */
export class ObjectStore {
  readonly #objects = new Map<string, Map<string, StoredObject>>();

  #log: LoggedChange[] = [];

  #logBytes = 0;

  /** Version of the newest change that was removed from the log. */
  #lastTrimmedVersion = 0;

  #version = 0;

  readonly #listeners = new Set<(kind: string, name: string) => void>();

  constructor(readonly bounds: LogBounds = DEFAULT_BOUNDS) {}

  /** Version of the newest change over all objects. */
  get version(): number {
    return this.#version;
  }

  /** Oldest version from which the log can serve a watch. */
  get oldestWatchableVersion(): number {
    return this.#lastTrimmedVersion;
  }

  getObject(kind: string, name: string): StoredObject | undefined {
    return this.#objects.get(kind)?.get(name);
  }

  listObjects(kind: string): StoredObject[] {
    return [...(this.#objects.get(kind)?.values() ?? [])];
  }

  /** Writes the object if the condition is met. */
  write(kind: string, name: string, value: unknown, condition: Condition, bytes = 0): WriteResult {
    const current = this.getObject(kind, name);
    if (condition.kind === 'absent' && current !== undefined) return { kind: 'conflict' };
    if (condition.kind === 'version' && current?.version !== condition.version) {
      return { kind: 'conflict' };
    }
    this.#version += 1;
    const stored = { name, version: this.#version, value };
    const objectsOfKind = this.#objects.get(kind) ?? new Map<string, StoredObject>();
    this.#objects.set(kind, objectsOfKind.set(name, stored));
    this.#record(kind, { ...stored, deleted: false }, bytes);
    return { kind: 'written', version: this.#version, created: current === undefined };
  }

  /** Removes the object if it has the expected version. */
  remove(kind: string, name: string, expected: number): WriteResult {
    const current = this.getObject(kind, name);
    if (current === undefined) return { kind: 'missing' };
    if (current.version !== expected) return { kind: 'conflict' };
    this.#objects.get(kind)?.delete(name);
    this.#version += 1;
    this.#record(kind, { name, version: this.#version, value: null, deleted: true }, 0);
    return { kind: 'written', version: this.#version, created: false };
  }

  /** Lists the changes of an object after `from`; undefined when the log does not cover `from`. */
  listChanges(kind: string, name: string, from: number): Change[] | undefined {
    if (from < this.#lastTrimmedVersion || from > this.#version) return undefined;
    return this.#log
      .filter(
        (change) => change.version > from && change.objectKind === kind && change.name === name,
      )
      .map(({ version, value, deleted }) => ({ name, version, value, deleted }));
  }

  /** Calls the listener on each change; the returned function unsubscribes it. */
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
      this.#lastTrimmedVersion = oldest.version;
    }
    for (const listener of [...this.#listeners]) listener(objectKind, change.name);
  }
}
