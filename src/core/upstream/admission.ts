/** Admission control for the instances of this host: slots and a bounded queue per service. */
import type { ServiceConfig } from '../../generated/types.js';
import type { Call, LoadReport } from '../../types/calls.js';
import type { ServiceName } from '../../types/ids.js';
import type { ConfigStore } from '../../types/interfaces.js';
import type { NotRunReason } from '../../types/outcome.js';
import type { InstanceEntry, InstanceTable } from './instanceTable.js';
import { createPriorityQueue, type PriorityQueue } from './priorityQueue.js';
import { createMeanRunTime, type MeanRunTime } from './meanRunTime.js';

/** Connections to each instance that are reserved for cancellations. */
const CANCELLATION_CONNECTIONS = 1;

/** Result of an admission. A granted slot must be freed with `releaseSlot`. */
export type AdmissionResult =
  | { readonly kind: 'granted'; readonly entry: InstanceEntry; readonly connections: number }
  | { readonly kind: 'refused'; readonly reason: NotRunReason; readonly detail: string };

/** Assigns slots to calls. */
export interface Admission {
  /** Grants a slot, immediately or after queueing, or refuses the call. */
  admit(call: Call): Promise<AdmissionResult>;
  /** Frees a slot; `runMs` is set when the upstream has run the call. */
  releaseSlot(entry: InstanceEntry, requestId: string, runMs: number | undefined): void;
  getLoad(service: ServiceName): LoadReport | undefined;
  countQueued(): number;
  /** Refuses every queued call. */
  refuseQueued(reason: NotRunReason, detail: string): void;
}

/** Options of an admission. */
export interface AdmissionOptions {
  readonly table: InstanceTable;
  readonly store: Pick<ConfigStore, 'getRouting'>;
}

interface Waiter {
  readonly call: Call;
  settle(result: AdmissionResult): void;
}

interface ServiceState {
  readonly service: ServiceName;
  readonly queue: PriorityQueue<Waiter>;
  readonly runTime: MeanRunTime;
  config: ServiceConfig;
}

/** Returns the number of an instance's connections that calls may use. */
export function countConnections(entry: InstanceEntry, config: ServiceConfig): number {
  const slots = Math.min(entry.announcedSlots, config.slots);
  return Math.max(1, Math.min(slots, config.maxConnections - CANCELLATION_CONNECTIONS));
}

function refuse(reason: NotRunReason, detail: string): AdmissionResult {
  return { kind: 'refused', reason, detail };
}

/** Creates the admission control of one node. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { table, store } = options;
  const serviceStates = new Map<ServiceName, ServiceState>();

  const getServiceState = (service: ServiceName, fallback: ServiceConfig): ServiceState => {
    const config = store.getRouting()?.services.get(service)?.config ?? fallback;
    let serviceState = serviceStates.get(service);
    if (!serviceState) {
      serviceState = {
        service,
        queue: createPriorityQueue(),
        runTime: createMeanRunTime(),
        config,
      };
      serviceStates.set(service, serviceState);
    }
    serviceState.config = config;
    return serviceState;
  };

  const countCapacity = (entry: InstanceEntry, serviceState: ServiceState) =>
    entry.limit.getLimit(countConnections(entry, serviceState.config));
  const listReadyInstances = (serviceState: ServiceState) =>
    table.list(serviceState.service).filter((entry) => entry.state === 'ready');

  const findFreeInstance = (serviceState: ServiceState): InstanceEntry | undefined => {
    let best: InstanceEntry | undefined;
    let bestFree = 0;
    for (const entry of listReadyInstances(serviceState)) {
      const free = countCapacity(entry, serviceState) - entry.usage.countOccupied();
      if (free > bestFree) {
        best = entry;
        bestFree = free;
      }
    }
    return best;
  };

  const grantSlot = (
    entry: InstanceEntry,
    call: Call,
    serviceState: ServiceState,
  ): AdmissionResult => {
    entry.usage.addExchange(call.requestId);
    return { kind: 'granted', entry, connections: countConnections(entry, serviceState.config) };
  };

  const explainNotReady = (serviceState: ServiceState): AdmissionResult | undefined => {
    const entries = table.list(serviceState.service);
    if (entries.some((entry) => entry.state === 'ready')) return undefined;
    if (entries.some((entry) => entry.state === 'cold')) {
      return refuse('not-ready', 'the upstream is starting');
    }
    if (entries.length > 0) return refuse('leaving', 'the upstream is leaving');
    return refuse('no-instance', 'no upstream of the service announces itself here');
  };

  const processQueue = (serviceState: ServiceState) => {
    const notReady = explainNotReady(serviceState);
    for (;;) {
      const entry = notReady ? undefined : findFreeInstance(serviceState);
      if (!notReady && !entry) return;
      const waiter = serviceState.queue.removeNext();
      if (!waiter) return;
      if (notReady) waiter.settle(notReady);
      else if (entry) waiter.settle(grantSlot(entry, waiter.call, serviceState));
    }
  };

  const estimateFinishMs = (serviceState: ServiceState, queuedAhead: number): number => {
    const ready = listReadyInstances(serviceState);
    const slots = ready.reduce((sum, entry) => sum + countCapacity(entry, serviceState), 0);
    const meanMs = serviceState.runTime.getMeanMs();
    return ((queuedAhead + 1) / Math.max(1, slots)) * meanMs + meanMs;
  };

  const waitInQueue = (serviceState: ServiceState, call: Call): Promise<AdmissionResult> =>
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
          serviceState.queue.remove(priority, waiter);
          resolve(result);
        },
      };
      timer = setTimeout(
        () => waiter.settle(refuse('deadline', 'the deadline passed in the queue')),
        call.deadlineMs - performance.now(),
      );
      call.signal.addEventListener('abort', handleAbort, { once: true });
      serviceState.queue.add(priority, waiter);
    });

  const admit = async (call: Call): Promise<AdmissionResult> => {
    const serviceState = getServiceState(call.route.service.name, call.route.service.config);
    const notReady = explainNotReady(serviceState);
    if (notReady) return notReady;
    if (call.signal.aborted) return refuse('cancelled', 'the caller has gone');
    const remainingMs = call.deadlineMs - performance.now();
    if (remainingMs <= 0) return refuse('deadline', 'the deadline passed before dispatch');
    // A free slot is granted without an estimate. Otherwise a high mean after a few slow calls
    // would refuse every call, and no new sample could lower it.
    const entry = findFreeInstance(serviceState);
    if (entry) return grantSlot(entry, call, serviceState);

    const { priority } = call.route.config;
    const estimateMs = estimateFinishMs(serviceState, serviceState.queue.countAhead(priority));
    if (estimateMs > remainingMs) {
      const detail = `needs about ${Math.ceil(estimateMs)} ms, has ${Math.floor(remainingMs)} ms`;
      return refuse('overloaded', detail);
    }
    if (serviceState.queue.count() >= serviceState.config.queueLimit) {
      const evicted = serviceState.queue.evictBelow(priority);
      if (!evicted) return refuse('overloaded', 'the queue is full');
      evicted.settle(refuse('overloaded', 'evicted by a call of higher priority'));
    }
    return waitInQueue(serviceState, call);
  };

  const processAllQueues = () => {
    for (const serviceState of serviceStates.values()) processQueue(serviceState);
  };
  table.onChange(processAllQueues);

  return {
    admit,
    releaseSlot(entry, requestId, runMs) {
      const serviceState = serviceStates.get(entry.service);
      if (serviceState && runMs !== undefined) serviceState.runTime.record(runMs);
      table.finishExchange(entry, requestId);
      if (serviceState) processQueue(serviceState);
    },
    getLoad(service) {
      const entries = table.list(service).filter((entry) => entry.state === 'ready');
      if (entries.length === 0) return undefined;
      const config =
        store.getRouting()?.services.get(service)?.config ?? serviceStates.get(service)?.config;
      const load = { busy: 0, slots: 0, queued: serviceStates.get(service)?.queue.count() ?? 0 };
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
      for (const serviceState of serviceStates.values()) queued += serviceState.queue.count();
      return queued;
    },
    refuseQueued(reason, detail) {
      for (const serviceState of serviceStates.values()) {
        for (
          let waiter = serviceState.queue.removeNext();
          waiter;
          waiter = serviceState.queue.removeNext()
        ) {
          waiter.settle(refuse(reason, detail));
        }
      }
    },
  };
}
