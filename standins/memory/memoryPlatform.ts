/** An in-memory platform with a switch for each fault that a call can meet. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type ErrorKind, type StepError } from '../../src/errors.js';
import type { PlatformClient, PlatformObject } from '../../src/types/interfaces.js';

/**
 * Faults of one call: refused, refused as wrong, response lost before or after the write took
 * effect, and a write that arrives only at `deliver`.
 */
export type Fault = 'unavailable' | 'refused' | 'lost-before' | 'lost-after' | 'held';

/** The fake; `planFault` holds for the next call of an operation on a name with the prefix. */
export interface MemoryPlatform extends PlatformClient {
  readonly objects: Map<string, PlatformObject<unknown>>;
  /** Calls by method. */
  readonly calls: Record<string, number>;
  planFault(operation: Operation, prefix: string, fault: Fault, times?: number): void;
  /** Runs once before the next call of an operation on a name, as another client would. */
  planAction(operation: Operation, prefix: string, action: () => Promise<unknown>): void;
  deliver(): void;
  /** Fails all calls, the waiting watches included, until it is set to false. */
  setDown(isDown: boolean): void;
  /** Writes without a condition. */
  put(name: string, value: unknown): void;
  /** Makes the next watch answer 410. */
  forgetVersions(): void;
}

type Operation = 'read' | 'write' | 'remove';

interface Plan {
  readonly operation: Operation;
  readonly prefix: string;
  readonly fault: Fault;
}

/** Creates an empty platform. */
export function createMemoryPlatform(): MemoryPlatform {
  const objects = new Map<string, PlatformObject<unknown>>();
  const calls: Record<string, number> = {};
  const plans: Plan[] = [];
  const actions: { operation: Operation; prefix: string; action: () => Promise<unknown> }[] = [];
  const held: (() => unknown)[] = [];
  const waiters = new Set<() => void>();
  let counter = 0;
  let isDown = false;
  let isForgotten = false;

  const fail = (kind: ErrorKind, step: string) =>
    err(buildError(kind, `platform.${step}`, 'memory', kind));

  const recordCall = (method: string) => {
    calls[method] = (calls[method] ?? 0) + 1;
  };

  const wakeWatches = () => {
    for (const wake of [...waiters]) wake();
  };

  const takeFault = (operation: Operation, name: string): Fault | undefined => {
    if (isDown) return 'unavailable';
    const index = plans.findIndex(
      (plan) => plan.operation === operation && name.startsWith(plan.prefix),
    );
    return index < 0 ? undefined : plans.splice(index, 1)[0]?.fault;
  };

  const runAction = async (operation: Operation, name: string) => {
    const index = actions.findIndex(
      (plan) => plan.operation === operation && name.startsWith(plan.prefix),
    );
    if (index >= 0) await actions.splice(index, 1)[0]?.action();
  };

  const put = (name: string, value: unknown): Result<number, StepError> => {
    counter += 1;
    const text = JSON.stringify(value);
    if (Buffer.byteLength(text) > 1_048_576) return fail('too-large', 'write');
    objects.set(name, { name, version: counter, value: JSON.parse(text) });
    wakeWatches();
    return ok(counter);
  };

  const store = (
    name: string,
    value: unknown,
    expected: number | undefined,
  ): Result<number, StepError> =>
    objects.get(name)?.version === expected ? put(name, value) : fail('conflict', 'write');

  const write = async (name: string, value: unknown, expected: number | undefined) => {
    await runAction('write', name);
    const fault = takeFault('write', name);
    switch (fault) {
      case undefined:
        return store(name, value, expected);
      case 'unavailable':
      case 'refused':
        return fail(fault, 'write');
      case 'lost-after':
        store(name, value, expected);
        break;
      case 'held':
        held.push(() => store(name, value, expected));
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

  const waitForWake = (waitMs: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = () => {
        clearTimeout(timer);
        waiters.delete(finish);
        resolve();
      };
      timer = setTimeout(finish, waitMs);
      waiters.add(finish);
      signal?.addEventListener('abort', finish, { once: true });
    });

  return {
    objects,
    calls,
    planFault: (operation, prefix, fault, times = 1) => {
      for (let i = 0; i < times; i += 1) plans.push({ operation, prefix, fault });
    },
    planAction: (operation, prefix, action) => {
      actions.push({ operation, prefix, action });
    },
    deliver: () => held.splice(0).forEach((send) => send()),
    setDown: (value) => {
      isDown = value;
      wakeWatches();
    },
    put: (name, value) => {
      put(name, value)._unsafeUnwrap();
    },
    forgetVersions: () => {
      isForgotten = true;
      wakeWatches();
    },
    async read<Value>(name: string) {
      recordCall('read');
      await runAction('read', name);
      if (takeFault('read', name)) return fail('unavailable', 'read');
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
      const fault = takeFault('remove', name);
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
      if (!isDown && !isForgotten && listChanges(name, from).length === 0) {
        await waitForWake(waitMs, signal);
      }
      if (isDown || signal?.aborted) return fail('unavailable', 'watch');
      if (isForgotten) {
        isForgotten = false;
        return fail('stale', 'watch');
      }
      return ok({ version: counter, changes: listChanges(name, from) });
    },
    close: async () => {},
  };
}
