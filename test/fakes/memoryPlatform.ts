import { err, ok } from 'neverthrow';
import { buildError } from '../../src/errors.js';
import type { PlatformClient, PlatformObject } from '../../src/types/interfaces.js';

/** A platform in memory, shared by the nodes of a test. */
export interface MemoryPlatform extends PlatformClient {
  /** Calls by operation. */
  readonly calls: Record<string, number>;
  setDown(isDown: boolean): void;
  /** Writes without a condition. */
  put(name: string, value: unknown): void;
  /** Makes the next watch answer 410. */
  forgetVersions(): void;
}

export function createMemoryPlatform(): MemoryPlatform {
  const objects = new Map<string, PlatformObject<unknown>>();
  const calls: Record<string, number> = {};
  const waiters = new Set<() => void>();
  let counter = 0;
  let isDown = false;
  let isForgotten = false;

  const fail = (step: string) => err(buildError('unavailable', step, 'platform', 'down'));
  const count = (step: string) => {
    calls[step] = (calls[step] ?? 0) + 1;
  };
  const put = (name: string, value: unknown): number => {
    counter += 1;
    objects.set(name, { name, version: counter, value: structuredClone(value) });
    for (const wake of [...waiters]) wake();
    return counter;
  };
  const write = (step: string, name: string, value: unknown, expected: number) => {
    count(step);
    if (isDown) return fail(step);
    const found = objects.get(name)?.version ?? 0;
    if (found !== expected) return err(buildError('conflict', step, 'platform', name));
    return ok(put(name, value));
  };
  const listChanges = (name: string, from: number) => {
    const object = objects.get(name);
    return object && object.version > from ? [{ ...object, deleted: false }] : [];
  };

  return {
    calls,
    put,
    setDown: (value) => {
      isDown = value;
      for (const wake of [...waiters]) wake();
    },
    forgetVersions: () => {
      isForgotten = true;
      for (const wake of [...waiters]) wake();
    },
    read: async <Value>(name: string) => {
      count('read');
      return isDown
        ? fail('read')
        : ok(structuredClone(objects.get(name)) as PlatformObject<Value> | undefined);
    },
    list: async <Value>(kind: string) => {
      count('list');
      const found = [...objects.values()].filter(({ name }) => name.startsWith(`${kind}/`));
      return isDown ? fail('list') : ok(structuredClone(found) as PlatformObject<Value>[]);
    },
    create: async (name, value) => write('create', name, value, 0),
    update: async (name, value, expected) => write('update', name, value, expected),
    remove: async () => fail('remove'),
    watch: async (name, from, waitMs, signal) => {
      count('watch');
      if (!isDown && !isForgotten && listChanges(name, from).length === 0) {
        await new Promise<void>((resolve) => {
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
      }
      if (isDown || signal?.aborted) return fail('watch');
      if (isForgotten) {
        isForgotten = false;
        return err(buildError('stale', 'watch', 'platform', 'version is no longer known'));
      }
      return ok({ version: counter, changes: listChanges(name, from) });
    },
    close: async () => {},
  };
}
