/** The upstream instances that announce themselves on this host. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Announcement, InstanceRecord } from '../../generated/types.js';
import { brandText, type InstanceId, type ServiceName } from '../../types/ids.js';
import type { MemberTable } from '../../types/interfaces.js';
import { isLoopback, isSameAddress } from '../../utils/address.js';
import type { Logger } from '../../utils/logger.js';
import { createConcurrencyLimit, type ConcurrencyLimit } from './concurrencyLimit.js';
import { createSlotUsage, type SlotUsage } from './slotUsage.js';

/** `maxItems` of the instances in the schema of member records. */
const MAX_INSTANCES = 64;
const STEP = 'announce';

/** An instance with its slots. `expired` instances still have exchanges in flight. */
export interface InstanceEntry {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly announcedSlots: number;
  readonly state: InstanceRecord['state'] | 'expired';
  /** Wall-clock time at which the instance became ready; 0 while it is cold. */
  readonly readySinceMs: number;
  readonly usage: SlotUsage;
  readonly limit: ConcurrencyLimit;
}

/** Kind of change of an instance. */
export type InstanceChange = 'updated' | 'draining' | 'expired' | 'removed';

/** Table of the announced instances. */
export interface InstanceTable {
  /** Applies one announcement. */
  record(announcement: Announcement): Result<void, StepError>;
  /** Lists the instances of a service, or of all services, without expired ones. */
  list(service?: ServiceName): readonly InstanceEntry[];
  /** Frees the slot of an ended exchange and removes the instance if it is expired and idle. */
  finishExchange(entry: InstanceEntry, requestId: string): void;
  /** Called after each announcement and each expiry. */
  onChange(listener: (entry: InstanceEntry, change: InstanceChange) => void): void;
  /** Stops the expiry timers. */
  close(): void;
}

/** Options of an instance table. */
export interface InstanceTableOptions {
  readonly members: Pick<MemberTable, 'updateSelf'>;
  /** Age at which an announcement expires, in milliseconds. */
  readonly ttlMs: number;
  /** Address of this host; upstreams announce this or a loopback address. */
  readonly ownHost: string;
  readonly logger: Logger;
}

type MutableEntry = { -readonly [Key in keyof InstanceEntry]: InstanceEntry[Key] } & {
  timer: NodeJS.Timeout | undefined;
};

const RECORD_STATES = { starting: 'cold', ready: 'ready', leaving: 'draining' } as const;

function toRecord(entry: InstanceEntry, state: InstanceRecord['state']): InstanceRecord {
  const { instanceId, service, announcedSlots, readySinceMs } = entry;
  return { instanceId, service, slots: announcedSlots, state, readySinceMs };
}

/** Creates an empty table. */
export function createInstanceTable(options: InstanceTableOptions): InstanceTable {
  const { members, ttlMs, ownHost, logger } = options;
  const entries = new Map<string, MutableEntry>();
  const listeners: ((entry: InstanceEntry, change: InstanceChange) => void)[] = [];
  let publishedJson = '[]';

  const list = (service?: ServiceName) =>
    [...entries.values()].filter(
      (entry) => entry.state !== 'expired' && (service === undefined || entry.service === service),
    );

  const publish = () => {
    const records: InstanceRecord[] = [];
    for (const entry of entries.values()) {
      if (entry.state !== 'expired') records.push(toRecord(entry, entry.state));
    }
    records.sort((a, b) => (a.instanceId < b.instanceId ? -1 : 1));
    const text = JSON.stringify(records);
    if (text === publishedJson) return;
    publishedJson = text;
    members.updateSelf({ instances: records });
  };

  const notify = (entry: InstanceEntry, change: InstanceChange) => {
    publish();
    for (const listener of listeners) listener(entry, change);
  };

  const removeIfIdle = (entry: MutableEntry) => {
    if (entry.state !== 'expired' || entry.usage.countInFlight() > 0) return;
    entries.delete(entry.instanceId);
    notify(entry, 'removed');
  };

  const expire = (expired: MutableEntry) => {
    const entry = expired;
    const { instanceId: peer, service } = entry;
    logger.warn('instance-expired', { step: STEP, peer, service, ttlMs });
    entry.state = 'expired';
    notify(entry, 'expired');
    removeIfIdle(entry);
  };

  const checkAcceptable = (announcement: Announcement): StepError | undefined => {
    const existing = entries.get(announcement.instanceId);
    if (existing && existing.service !== announcement.service) {
      return buildError(
        'conflict',
        STEP,
        announcement.instanceId,
        `belongs to ${existing.service}`,
      );
    }
    if (!existing && entries.size >= MAX_INSTANCES) {
      return buildError('busy', STEP, announcement.instanceId, `over ${MAX_INSTANCES} instances`);
    }
    if (!isLoopback(announcement.host) && !isSameAddress(announcement.host, ownHost)) {
      const text = `host ${announcement.host} is not on this host`;
      return buildError('invalid', STEP, announcement.instanceId, text);
    }
    return undefined;
  };

  const findOrAdd = (announcement: Announcement): MutableEntry => {
    const existing = entries.get(announcement.instanceId);
    if (existing) return existing;
    const entry: MutableEntry = {
      instanceId: brandText<InstanceId>(announcement.instanceId),
      service: brandText<ServiceName>(announcement.service),
      host: announcement.host,
      port: announcement.port,
      announcedSlots: announcement.slots,
      state: 'cold',
      readySinceMs: 0,
      usage: createSlotUsage(),
      limit: createConcurrencyLimit(),
      timer: undefined,
    };
    entries.set(entry.instanceId, entry);
    return entry;
  };

  return {
    list,
    record(announcement) {
      const fault = checkAcceptable(announcement);
      if (fault) return err(fault);
      const entry = findOrAdd(announcement);
      const wasDraining = entry.state === 'draining';
      entry.host = announcement.host;
      entry.port = announcement.port;
      entry.announcedSlots = announcement.slots;
      entry.state = RECORD_STATES[announcement.state];
      if (entry.state === 'cold') entry.readySinceMs = 0;
      else if (entry.readySinceMs === 0) entry.readySinceMs = Date.now();
      entry.usage.recordReport(announcement.busy, announcement.running);
      clearTimeout(entry.timer);
      entry.timer = setTimeout(expire, ttlMs, entry);
      notify(entry, entry.state === 'draining' && !wasDraining ? 'draining' : 'updated');
      return ok(undefined);
    },
    finishExchange(entry, requestId) {
      entry.usage.removeExchange(requestId);
      const current = entries.get(entry.instanceId);
      if (current === entry) removeIfIdle(current);
    },
    onChange(listener) {
      listeners.push(listener);
    },
    close() {
      for (const entry of entries.values()) clearTimeout(entry.timer);
    },
  };
}
