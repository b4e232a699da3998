/** Admission to the instances of this host: slots, and a bounded priority queue per service. */
import type { ServiceConfig } from '../../generated/types.js';
import type { Call, LoadReport } from '../../types/calls.js';
import type { ServiceName } from '../../types/ids.js';
import type { ConfigStore } from '../../types/interfaces.js';
import type { NotRunReason } from '../../types/outcome.js';
import type { InstanceEntry, InstanceTable } from './instanceTable.js';
import { createPriorityQueue, type PriorityQueue } from './priorityQueue.js';
import { createRunTime, type RunTime } from './runTime.js';

/** Result of an admission. A granted slot must be released by `finish`. */
export type Admitted =
  | { readonly kind: 'granted'; readonly entry: InstanceEntry; readonly connections: number }
  | { readonly kind: 'refused'; readonly reason: NotRunReason; readonly detail: string };

/** Gives slots to calls. */
export interface Admission {
  /** Takes a slot at once or after a wait in the queue, or refuses. */
  admit(call: Call): Promise<Admitted>;
  /** Frees a slot; `runMs` is given when the upstream has run the call. */
  finish(entry: InstanceEntry, requestId: string, runMs: number | undefined): void;
  getLoad(service: ServiceName): LoadReport | undefined;
  countQueued(): number;
  /** Refuses every waiting call. */
  refuseQueued(reason: NotRunReason, detail: string): void;
}

/** What admission needs. */
export interface AdmissionOptions {
  readonly table: InstanceTable;
  readonly store: Pick<ConfigStore, 'getRouting'>;
}

interface Waiter {
  readonly call: Call;
  settle(result: Admitted): void;
}

interface Lane {
  readonly service: ServiceName;
  readonly queue: PriorityQueue<Waiter>;
  readonly runTime: RunTime;
  config: ServiceConfig;
}

/** Counts the connections for exchanges: one of the instance's is kept for cancellations. */
export function countConnections(entry: InstanceEntry, config: ServiceConfig): number {
  const slots = Math.min(entry.announcedSlots, config.slots);
  return Math.max(1, Math.min(slots, config.maxConnections - 1));
}

function refuse(reason: NotRunReason, detail: string): Admitted {
  return { kind: 'refused', reason, detail };
}

/** Creates the admission of one node. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { table, store } = options;
  const lanes = new Map<ServiceName, Lane>();

  const getLane = (service: ServiceName, fallback: ServiceConfig): Lane => {
    const config = store.getRouting()?.services.get(service)?.config ?? fallback;
    let lane = lanes.get(service);
    if (!lane) {
      lane = { service, queue: createPriorityQueue(), runTime: createRunTime(), config };
      lanes.set(service, lane);
    }
    lane.config = config;
    return lane;
  };

  const countCapacity = (entry: InstanceEntry, lane: Lane) =>
    entry.limit.getLimit(countConnections(entry, lane.config));
  const listReady = (lane: Lane) =>
    table.list(lane.service).filter((entry) => entry.state === 'ready');

  const findFree = (lane: Lane): InstanceEntry | undefined => {
    let best: InstanceEntry | undefined;
    let bestFree = 0;
    for (const entry of listReady(lane)) {
      const free = countCapacity(entry, lane) - entry.usage.countOccupied();
      if (free > bestFree) {
        best = entry;
        bestFree = free;
      }
    }
    return best;
  };

  const admitNow = (entry: InstanceEntry, call: Call, lane: Lane): Admitted => {
    entry.usage.addExchange(call.requestId);
    return { kind: 'granted', entry, connections: countConnections(entry, lane.config) };
  };

  const explainNotReady = (lane: Lane): Admitted | undefined => {
    const entries = table.list(lane.service);
    if (entries.some((entry) => entry.state === 'ready')) return undefined;
    if (entries.some((entry) => entry.state === 'cold')) {
      return refuse('not-ready', 'the upstream is starting');
    }
    if (entries.length > 0) return refuse('leaving', 'the upstream is leaving');
    return refuse('no-instance', 'no upstream of the service announces itself here');
  };

  const runQueue = (lane: Lane) => {
    const notReady = explainNotReady(lane);
    for (;;) {
      const entry = notReady ? undefined : findFree(lane);
      if (!notReady && !entry) return;
      const waiter = lane.queue.removeNext();
      if (!waiter) return;
      if (notReady) waiter.settle(notReady);
      else if (entry) waiter.settle(admitNow(entry, waiter.call, lane));
    }
  };

  const estimateFinishMs = (lane: Lane, ahead: number): number => {
    const ready = listReady(lane);
    const slots = ready.reduce((sum, entry) => sum + countCapacity(entry, lane), 0);
    const meanMs = lane.runTime.getMeanMs();
    return ((ahead + 1) / Math.max(1, slots)) * meanMs + meanMs;
  };

  const waitInQueue = (lane: Lane, call: Call): Promise<Admitted> =>
    new Promise((resolve) => {
      const { priority } = call.route.config;
      let waiter: Waiter;
      let timer: NodeJS.Timeout;
      const handleAbort = () => waiter.settle(refuse('cancelled', 'the caller has gone'));
      waiter = {
        call,
        settle(result) {
          clearTimeout(timer);
          call.signal.removeEventListener('abort', handleAbort);
          lane.queue.remove(priority, waiter);
          resolve(result);
        },
      };
      timer = setTimeout(
        () => waiter.settle(refuse('deadline', 'the deadline passed in the queue')),
        call.deadlineMs - performance.now(),
      );
      call.signal.addEventListener('abort', handleAbort, { once: true });
      lane.queue.add(priority, waiter);
    });

  const admit = async (call: Call): Promise<Admitted> => {
    const lane = getLane(call.route.service.name, call.route.service.config);
    const notReady = explainNotReady(lane);
    if (notReady) return notReady;
    if (call.signal.aborted) return refuse('cancelled', 'the caller has gone');
    const leftMs = call.deadlineMs - performance.now();
    if (leftMs <= 0) return refuse('deadline', 'the deadline passed before dispatch');
    // A free slot is given without an estimate: otherwise one slow spell would refuse every
    // call, and no new run time would correct the mean.
    const entry = findFree(lane);
    if (entry) return admitNow(entry, call, lane);

    const { priority } = call.route.config;
    const estimateMs = estimateFinishMs(lane, lane.queue.countAhead(priority));
    if (estimateMs > leftMs) {
      const detail = `needs about ${Math.ceil(estimateMs)} ms, has ${Math.floor(leftMs)} ms`;
      return refuse('overloaded', detail);
    }
    if (lane.queue.count() >= lane.config.queueLimit) {
      const evicted = lane.queue.evictBelow(priority);
      if (!evicted) return refuse('overloaded', 'the queue is full');
      evicted.settle(refuse('overloaded', 'evicted by a call of higher priority'));
    }
    return waitInQueue(lane, call);
  };

  const runAllQueues = () => {
    for (const lane of lanes.values()) runQueue(lane);
  };
  table.onChange(runAllQueues);

  return {
    admit,
    finish(entry, requestId, runMs) {
      const lane = lanes.get(entry.service);
      if (lane && runMs !== undefined) lane.runTime.record(runMs);
      table.finishExchange(entry, requestId);
      if (lane) runQueue(lane);
    },
    getLoad(service) {
      const entries = table.list(service).filter((entry) => entry.state === 'ready');
      if (entries.length === 0) return undefined;
      const config =
        store.getRouting()?.services.get(service)?.config ?? lanes.get(service)?.config;
      const load = { busy: 0, slots: 0, queued: lanes.get(service)?.queue.count() ?? 0 };
      for (const entry of entries) {
        load.busy += entry.usage.countOccupied();
        load.slots += config
          ? entry.limit.getLimit(countConnections(entry, config))
          : entry.announcedSlots;
      }
      return load;
    },
    countQueued() {
      let queued = 0;
      for (const lane of lanes.values()) queued += lane.queue.count();
      return queued;
    },
    refuseQueued(reason, detail) {
      for (const lane of lanes.values()) {
        for (let waiter = lane.queue.removeNext(); waiter; waiter = lane.queue.removeNext()) {
          waiter.settle(refuse(reason, detail));
        }
      }
    },
  };
}
