/** The member table. */
import type { MemberChange, MemberRecord } from '../../generated/types.js';
import type { MemberVerdict, MemberView, VersionTag } from '../../types/interfaces.js';
import { NO_VERSION, type ServiceName } from '../../types/ids.js';
import { createBucketHashes } from './bucketHashes.js';
import { compareChanges, isPresent } from './merge.js';

/** The tag of a member that has not been heard of directly. */
export const NO_TAG: VersionTag = { version: NO_VERSION, digest: '' };

/** A member with the local revision at which it last changed. */
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

/** The records of all members, tombstones included. */
export interface Table {
  get(nodeId: string): Entry | undefined;
  list(): readonly Entry[];
  /** Members that take part: neither dead nor gone. */
  listPresent(dataCentre?: string): readonly Entry[];
  /** Serving members that have an instance of the service. */
  listByService(service: ServiceName): readonly Entry[];
  /** Takes the change if it is newer; a tombstone of an unknown member is not taken. */
  apply(change: MemberChange): boolean;
  setTag(nodeId: string, tag: VersionTag): void;
  /** Starts the verdict's time again, after this process was stopped for a while. */
  resetSince(nodeId: string): void;
  removeExpired(tombstoneMs: number): void;
  /** Hash over the present members; tombstones are left out, as they expire at other times. */
  computeHash(): string;
  /** Hashes over the present members of each of `count` buckets, a power of two up to 256. */
  listBucketHashes(count: number): string[];
  getRevision(): number;
  getChangedAtMs(): number;
  onChange(listener: (member: MemberView) => void): void;
}

function listServing(entries: readonly Entry[], service: ServiceName): readonly Entry[] {
  return entries.filter(
    ({ record }) =>
      record.state === 'serving' && record.instances.some((one) => one.service === service),
  );
}

/** Creates a table that holds the own record. */
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
    const isSame = current?.verdict === change.verdict;
    const isProcessSame = current?.record.incarnation === change.record.incarnation;
    const entry: MutableEntry = {
      record: change.record,
      verdict: change.verdict,
      tag: current && isProcessSame ? current.tag : NO_TAG,
      sinceMs: current && isSame ? current.sinceMs : changedAtMs,
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
    resetSince: (nodeId) => {
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

/** Returns the message form of an entry. */
export function toChange(entry: MemberView): MemberChange {
  return { record: entry.record, verdict: entry.verdict };
}
