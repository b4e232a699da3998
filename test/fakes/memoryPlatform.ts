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
  planFault(operation: Operation, prefix: string, fault: Fault, times?: number): void;
  /** Runs once before the next call of an operation on a name, as another client would. */
  planAction(operation: Operation, prefix: string, action: () => Promise<unknown>): void;
  deliver(): void;
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
  const plans: Plan[] = [];
  const actions: { operation: Operation; prefix: string; action: () => Promise<unknown> }[] = [];
  const held: (() => unknown)[] = [];
  let counter = 0;

  const fail = (kind: ErrorKind, step: string) =>
    err(buildError(kind, `platform.${step}`, 'memory', kind));

  const takeFault = (operation: Operation, name: string): Fault | undefined => {
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

  const store = (
    name: string,
    value: unknown,
    expected: number | undefined,
  ): Result<number, StepError> => {
    if (objects.get(name)?.version !== expected) return fail('conflict', 'write');
    counter += 1;
    const text = JSON.stringify(value);
    if (Buffer.byteLength(text) > 1_048_576) return fail('too-large', 'write');
    objects.set(name, { name, version: counter, value: JSON.parse(text) });
    return ok(counter);
  };

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

  return {
    objects,
    planFault: (operation, prefix, fault, times = 1) => {
      for (let i = 0; i < times; i += 1) plans.push({ operation, prefix, fault });
    },
    planAction: (operation, prefix, action) => {
      actions.push({ operation, prefix, action });
    },
    deliver: () => held.splice(0).forEach((send) => send()),
    async read<Value>(name: string) {
      await runAction('read', name);
      if (takeFault('read', name)) return fail('unavailable', 'read');
      return ok(structuredClone(objects.get(name)) as PlatformObject<Value> | undefined);
    },
    async list<Value>(kind: string) {
      const found = [...objects.values()].filter(({ name }) => name.startsWith(`${kind}/`));
      return ok(structuredClone(found) as PlatformObject<Value>[]);
    },
    create: (name, value) => write(name, value, undefined),
    update: (name, value, expected) => write(name, value, expected),
    async remove(name, expected) {
      if (takeFault('remove', name)) return fail('unavailable', 'remove');
      if (objects.get(name)?.version !== expected) return fail('conflict', 'remove');
      objects.delete(name);
      return ok(undefined);
    },
    watch: async (_name, from) => ok({ version: Math.max(from, counter), changes: [] }),
    close: async () => {},
  };
}
