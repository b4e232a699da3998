/** Table of the known members with their records and verdicts. */
import type { MemberChange, MemberRecord } from '../../generated/types.js';
import type { MemberVerdict, MemberView, VersionTag } from '../../types/interfaces.js';
import { NO_VERSION, type ServiceName } from '../../types/ids.js';
import { createBucketHashes } from './bucketHashes.js';
import { compareChanges, isPresent } from './merge.js';

/** Version tag of a member from which no ping or ack has been received. */
export const NO_TAG: VersionTag = { version: NO_VERSION, digest: '' };

/** A member with the table revision of its last change. */
export interface Entry extends MemberView {
  readonly revision: number;
}

interface MutableEntry {
  record: MemberRecord;
  verdict: MemberVerdict;
  tag: VersionTag;
  sinceMs: number;
  revision: number;
}

/** Member table, tombstones included. */
export interface Table {
  get(nodeId: string): Entry | undefined;
  list(): readonly Entry[];
  /** Lists the members that are neither dead nor in state `left`. */
  listPresent(dataCentre?: string): readonly Entry[];
  /** Lists the members in state `serving` that have an instance of the service. */
  listByService(service: ServiceName): readonly Entry[];
  /** Applies the change if it is newer. Tombstones of unknown members are ignored. */
  apply(change: MemberChange): boolean;
  setTag(nodeId: string, tag: VersionTag): void;
  /** Resets `sinceMs` to the current time, after this process was paused or its clock changed. */
  resetVerdictTime(nodeId: string): void;
  /** Removes tombstones older than `tombstoneMs`. */
  removeExpired(tombstoneMs: number): void;
  /**
   * Computes a hash of the present members. Tombstones are excluded, because they expire at
   * different times on different nodes.
   */
  computeHash(): string;
  /** Lists the hashes of `count` buckets of present members, a power of two up to 256. */
  listBucketHashes(count: number): string[];
  getRevision(): number;
  getChangedAtMs(): number;
  onChange(listener: (member: MemberView) => void): void;
}

function listServing(entries: readonly Entry[], service: ServiceName): readonly Entry[] {
  return entries.filter(
    ({ record }) =>
      record.state === 'serving' &&
      record.instances.some((instance) => instance.service === service),
  );
}

/** Creates a table that contains only this node's record. */
export function createTable(self: MemberRecord): Table {
  const entries = new Map<string, MutableEntry>();
  const listeners: ((member: MemberView) => void)[] = [];
  let revision = 0;
  let changedAtMs = Date.now();
  const hashes = createBucketHashes();
  let present: Map<string, readonly Entry[]> = new Map();
  let byService: Map<ServiceName, readonly Entry[]> = new Map();

  const resetCaches = () => {
    present = new Map();
    byService = new Map();
  };

  const store = (change: MemberChange, current: MutableEntry | undefined): MutableEntry => {
    revision += 1;
    changedAtMs = Date.now();
    const isSameVerdict = current?.verdict === change.verdict;
    const isSameProcess = current?.record.incarnation === change.record.incarnation;
    const entry: MutableEntry = {
      record: change.record,
      verdict: change.verdict,
      tag: current && isSameProcess ? current.tag : NO_TAG,
      sinceMs: current && isSameVerdict ? current.sinceMs : changedAtMs,
      revision,
    };
    if (current) hashes.remove(current);
    hashes.add(entry);
    entries.set(change.record.nodeId, entry);
    resetCaches();
    return entry;
  };
  store({ record: self, verdict: 'alive' }, undefined);

  const listPresent = (dataCentre = ''): readonly Entry[] => {
    const cached = present.get(dataCentre);
    if (cached) return cached;
    const list = [...entries.values()].filter(
      (entry) => isPresent(entry) && (dataCentre === '' || entry.record.dataCentre === dataCentre),
    );
    present.set(dataCentre, list);
    return list;
  };

  return {
    get: (nodeId) => entries.get(nodeId),
    list: () => [...entries.values()],
    listPresent,
    listByService: (service) => {
      const cached = byService.get(service);
      if (cached) return cached;
      const list = listServing(listPresent(), service);
      byService.set(service, list);
      return list;
    },
    apply: (change) => {
      const current = entries.get(change.record.nodeId);
      if (!current && !isPresent(change)) return false;
      if (current && compareChanges(change, current) <= 0) return false;
      const entry = store(change, current);
      for (const listener of listeners) listener(entry);
      return true;
    },
    setTag: (nodeId, tag) => {
      const entry = entries.get(nodeId);
      if (entry) entry.tag = tag;
    },
    resetVerdictTime: (nodeId) => {
      const entry = entries.get(nodeId);
      if (entry) entry.sinceMs = Date.now();
    },
    removeExpired: (tombstoneMs) => {
      const oldestMs = Date.now() - tombstoneMs;
      for (const [nodeId, entry] of entries) {
        if (!isPresent(entry) && entry.sinceMs <= oldestMs) entries.delete(nodeId);
      }
    },
    computeHash: () => hashes.computeTotal(),
    listBucketHashes: (count) => hashes.list(count),
    getRevision: () => revision,
    getChangedAtMs: () => changedAtMs,
    onChange: (listener) => listeners.push(listener),
  };
}

/** Converts a table entry to the change that is sent in messages. */
export function toChange(entry: MemberView): MemberChange {
  return { record: entry.record, verdict: entry.verdict };
}
