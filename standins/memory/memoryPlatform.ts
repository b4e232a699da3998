/** In-memory platform client with fault injection. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type ErrorKind, type StepError } from '../../src/errors.js';
import type { PlatformClient, PlatformObject } from '../../src/types/interfaces.js';

/**
 * Fault of one call: platform unavailable, request refused, response lost before or after the write
 * took effect, and a write that takes effect only when `applyDelayedWrites` is called.
 */
export type Fault = 'unavailable' | 'refused' | 'lost-before' | 'lost-after' | 'held';

/** Fake of the platform client, with controls for tests. */
export interface MemoryPlatform extends PlatformClient {
  readonly objects: Map<string, PlatformObject<unknown>>;
  /** Calls by method. */
  readonly calls: Record<string, number>;
  /** Injects a fault into the next `times` calls of an operation on a name with the prefix. */
  planFault(operation: Operation, prefix: string, fault: Fault, times?: number): void;
  /** Runs an action once before the next call of an operation, to simulate another client. */
  planAction(operation: Operation, prefix: string, action: () => Promise<unknown>): void;
  /** Executes the writes with the fault `held`; their conditions are checked now. */
  applyDelayedWrites(): void;
  /** Makes all calls fail, including waiting watches, until it is set to false. */
  setDown(isDown: boolean): void;
  /** Writes without a condition. */
  put(name: string, value: unknown): void;
  /** Makes the next watch fail with `stale`, as status 410 does. */
  expireHistory(): void;
}

type Operation = 'read' | 'write' | 'remove';

interface PlannedFault {
  readonly operation: Operation;
  readonly prefix: string;
  readonly fault: Fault;
}

const MAX_VALUE_BYTES = 1_048_576;

export function createMemoryPlatform(): MemoryPlatform {
  const objects = new Map<string, PlatformObject<unknown>>();
  const calls: Record<string, number> = {};
  const plannedFaults: PlannedFault[] = [];
  const plannedActions: { operation: Operation; prefix: string; action: () => Promise<unknown> }[] =
    [];
  const delayedWrites: (() => unknown)[] = [];
  const waitingWatches = new Set<() => void>();
  let lastVersion = 0;
  let isDown = false;
  let isHistoryExpired = false;

  const fail = (kind: ErrorKind, step: string) =>
    err(buildError(kind, `platform.${step}`, 'memory', kind));

  const recordCall = (method: string) => {
    calls[method] = (calls[method] ?? 0) + 1;
  };

  const wakeWatches = () => {
    for (const wake of [...waitingWatches]) wake();
  };

  const consumeFault = (operation: Operation, name: string): Fault | undefined => {
    if (isDown) return 'unavailable';
    const index = plannedFaults.findIndex(
      (plan) => plan.operation === operation && name.startsWith(plan.prefix),
    );
    return index < 0 ? undefined : plannedFaults.splice(index, 1)[0]?.fault;
  };

  const runAction = async (operation: Operation, name: string) => {
    const index = plannedActions.findIndex(
      (plan) => plan.operation === operation && name.startsWith(plan.prefix),
    );
    if (index >= 0) await plannedActions.splice(index, 1)[0]?.action();
  };

  const put = (name: string, value: unknown): Result<number, StepError> => {
    lastVersion += 1;
    const text = JSON.stringify(value);
    if (Buffer.byteLength(text) > MAX_VALUE_BYTES) return fail('too-large', 'write');
    objects.set(name, { name, version: lastVersion, value: JSON.parse(text) });
    wakeWatches();
    return ok(lastVersion);
  };

  const writeIfVersion = (
    name: string,
    value: unknown,
    expected: number | undefined,
  ): Result<number, StepError> =>
    objects.get(name)?.version === expected ? put(name, value) : fail('conflict', 'write');

  const write = async (name: string, value: unknown, expected: number | undefined) => {
    await runAction('write', name);
    const fault = consumeFault('write', name);
    switch (fault) {
      case undefined:
        return writeIfVersion(name, value, expected);
      case 'unavailable':
      case 'refused':
        return fail(fault, 'write');
      case 'lost-after':
        writeIfVersion(name, value, expected);
        break;
      case 'held':
        delayedWrites.push(() => writeIfVersion(name, value, expected));
        break;
      case 'lost-before':
        break;
      default:
        return fault satisfies never;
    }
    return fail('answer-lost', 'write');
  };

  const listChanges = (name: string, from: number) => {
    const object = objects.get(name);
    return object && object.version > from ? [{ ...object, deleted: false }] : [];
  };

  const waitForChange = (waitMs: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = () => {
        clearTimeout(timer);
        waitingWatches.delete(finish);
        resolve();
      };
      timer = setTimeout(finish, waitMs);
      waitingWatches.add(finish);
      signal?.addEventListener('abort', finish, { once: true });
    });

  return {
    objects,
    calls,
    planFault: (operation, prefix, fault, times = 1) => {
      for (let i = 0; i < times; i += 1) plannedFaults.push({ operation, prefix, fault });
    },
    planAction: (operation, prefix, action) => {
      plannedActions.push({ operation, prefix, action });
    },
    applyDelayedWrites: () => delayedWrites.splice(0).forEach((applyWrite) => applyWrite()),
    setDown: (value) => {
      isDown = value;
      wakeWatches();
    },
    put: (name, value) => {
      put(name, value)._unsafeUnwrap();
    },
    expireHistory: () => {
      isHistoryExpired = true;
      wakeWatches();
    },
    async read<Value>(name: string) {
      recordCall('read');
      await runAction('read', name);
      if (consumeFault('read', name)) return fail('unavailable', 'read');
      return ok(structuredClone(objects.get(name)) as PlatformObject<Value> | undefined);
    },
    async list<Value>(kind: string) {
      recordCall('list');
      if (isDown) return fail('unavailable', 'list');
      const found = [...objects.values()].filter(({ name }) => name.startsWith(`${kind}/`));
      return ok(structuredClone(found) as PlatformObject<Value>[]);
    },
    create: (name, value) => {
      recordCall('create');
      return write(name, value, undefined);
    },
    update: (name, value, expected) => {
      recordCall('update');
      return write(name, value, expected);
    },
    async remove(name, expected) {
      recordCall('remove');
      await runAction('remove', name);
      const fault = consumeFault('remove', name);
      if (fault === 'unavailable') return fail('unavailable', 'remove');
      if (fault === 'lost-before') return fail('answer-lost', 'remove');
      const stored = objects.get(name);
      if (!stored) return fail('not-found', 'remove');
      if (stored.version !== expected) return fail('conflict', 'remove');
      objects.delete(name);
      return fault === 'lost-after' ? fail('answer-lost', 'remove') : ok(undefined);
    },
    watch: async (name, from, waitMs, signal) => {
      recordCall('watch');
      if (!isDown && !isHistoryExpired && listChanges(name, from).length === 0) {
        await waitForChange(waitMs, signal);
      }
      if (isDown || signal?.aborted) return fail('unavailable', 'watch');
      if (isHistoryExpired) {
        isHistoryExpired = false;
        return fail('stale', 'watch');
      }
      return ok({ version: lastVersion, changes: listChanges(name, from) });
    },
    close: async () => {},
  };
}
