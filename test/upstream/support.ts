/** Fakes at the interfaces of the instance side, and upstreams on loopback. */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { err, ok } from 'neverthrow';
import { v4, v7 } from 'uuid';
import { createLocalDispatcher } from '../../src/core/upstream/dispatcher.js';
import { createInstanceTable } from '../../src/core/upstream/instanceTable.js';
import type { KeyPartitions } from '../../src/core/upstream/keyPartitions.js';
import {
  createRequestMemory,
  type RequestMemoryOptions,
} from '../../src/core/upstream/requestMemory.js';
import type { UpstreamClient } from '../../src/core/upstream/upstreamClient.js';
import { buildError } from '../../src/errors.js';
import type { Announcement, MemberRecord } from '../../src/generated/types.js';
import type { Call } from '../../src/types/calls.js';
import { brandText, type NodeId, type RequestId, type ServiceName } from '../../src/types/ids.js';
import type { MemberView, PlatformObject } from '../../src/types/interfaces.js';
import { NO_VERSION } from '../../src/types/ids.js';
import type { CompiledRoute, RoutingState } from '../../src/types/routing.js';
import { computeKeyPartition } from '../../src/utils/keyPartition.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';

export const SERVICE = brandText<ServiceName>('padbook');

export function buildRoute(
  change: Partial<CompiledRoute['config']> = {},
  service: Partial<CompiledRoute['service']['config']> = {},
): CompiledRoute {
  return {
    name: brandText('book'),
    config: {
      match: { pathPrefix: '/' },
      service: SERVICE,
      repeatability: 'repeatable',
      priority: 'normal',
      timeoutMs: 5000,
      retry: { maxAttempts: 3, budgetPercent: 20 },
      spillOver: true,
      ...change,
    },
    service: {
      name: SERVICE,
      config: {
        slots: 10,
        maxConnections: 100,
        queueLimit: 5,
        coldStartMs: 0,
        drainMs: 10_000,
        outlier: { consecutiveFailures: 5, ejectMs: 2000, maxEjectedPercent: 50 },
        ...service,
      },
    },
  };
}

export function buildCall(change: Partial<Call> = {}, timeoutMs = 10_000): Call {
  return {
    requestId: brandText<RequestId>(v4()),
    route: buildRoute(),
    method: 'POST',
    path: '/book?pad=7',
    headers: { host: 'mesh.example', 'content-type': 'text/plain' },
    body: Buffer.from('pad 7'),
    key: { kind: 'none' },
    deadlineMs: performance.now() + timeoutMs,
    depth: 0,
    signal: new AbortController().signal,
    ...change,
  };
}

/** A caller-supplied key whose time is `issuedAtMs`, of the given key partition if any. */
export function buildKey(
  issuedAtMs: number,
  partition?: number,
): Extract<Call['key'], { kind: 'uuid' }> {
  for (;;) {
    const text = v7({ msecs: issuedAtMs });
    if (partition === undefined || computeKeyPartition(text) === partition) {
      return { kind: 'uuid', text, issuedAtMs };
    }
  }
}

export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** An upstream on loopback that counts its requests and reports each as it arrives. */
export async function startUpstream(t: TestContext, handler: UpstreamHandler) {
  const seen: string[] = [];
  const cancelled: string[] = [];
  const waiting: (() => void)[] = [];
  const server = createServer((request, response) => {
    const { url = '' } = request;
    if (url.startsWith('/.lycheelane/cancel/')) {
      cancelled.push(url.split('/').at(-1) ?? '');
      response.writeHead(202).end();
    } else {
      seen.push(String(request.headers['lycheelane-request']));
      handler(request, response);
    }
    for (const notify of waiting.splice(0)) notify();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return {
    port: (server.address() as AddressInfo).port,
    seen,
    cancelled,
    /** Resolves when the condition holds after some arrival; fails instead of waiting forever. */
    async waitFor(condition: () => boolean) {
      while (!condition()) {
        await new Promise<void>((resolve, reject) => {
          const limit = setTimeout(() => reject(new Error('no such arrival in 20 s')), 20_000);
          waiting.push(() => {
            clearTimeout(limit);
            resolve();
          });
        });
      }
    },
  };
}

export function buildAnnouncement(change: Partial<Announcement> = {}): Announcement {
  return {
    instanceId: 'padbook-1',
    service: SERVICE,
    host: '127.0.0.1',
    port: 1,
    slots: 4,
    state: 'ready',
    busy: 0,
    ...change,
  };
}

/** Partitions that allow every key. */
export const OPEN_PARTITIONS: Pick<KeyPartitions, 'checkKey' | 'takeKey' | 'isRetained' | 'stop'> =
  {
    checkKey: async () => ({ kind: 'allowed' }),
    takeKey: () => ({ kind: 'allowed' }),
    isRetained: () => false,
    stop: async () => {},
  };

/** What a test may set of an instance side. */
export interface InstanceSideOptions {
  readonly partitions?: typeof OPEN_PARTITIONS;
  readonly memory?: Partial<RequestMemoryOptions>;
  readonly ttlMs?: number;
  readonly client?: UpstreamClient;
  /** Settings of the service in the installed configuration; none installed when absent. */
  readonly service?: Partial<CompiledRoute['service']['config']>;
}

/** One instance side with a table that is fed directly. */
export function createInstanceSide(t: TestContext, options: InstanceSideOptions = {}) {
  const published: MemberRecord['instances'][] = [];
  const table = createInstanceTable({
    members: {
      updateSelf: ({ instances = [] }) => {
        published.push(instances);
      },
    },
    ttlMs: options.ttlMs ?? 60_000,
    ownHost: '127.0.0.1',
    logger: SILENT_LOGGER,
  });
  const memory = createRequestMemory({ maxKeys: 1000, rememberMs: 900_000, ...options.memory });
  const { service } = buildRoute({}, options.service);
  const routing = options.service
    ? ({ services: new Map([[SERVICE, service]]) } as unknown as RoutingState)
    : undefined;
  const dispatcher = createLocalDispatcher({
    nodeId: brandText<NodeId>('n1'),
    incarnation: '1-a',
    table,
    store: { getRouting: () => routing, isReady: () => true },
    memory,
    partitions: options.partitions ?? OPEN_PARTITIONS,
    logger: SILENT_LOGGER,
    client: options.client,
  });
  t.after(async () => {
    table.close();
    await dispatcher.close();
  });
  return { table, memory, dispatcher, published };
}

export async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

export type PlatformFault = 'none' | 'down' | 'loseAnswer' | 'delayWrite';

/** An object store with conditional writes whose faults a test sets call by call. */
export function createFakePlatform() {
  const objects = new Map<string, PlatformObject<unknown>>();
  const delayed: (() => void)[] = [];
  let counter = 0;
  let nextFault: () => PlatformFault = () => 'none';
  const fail = (kind: 'unavailable' | 'answer-lost' | 'conflict') =>
    err(buildError(kind, 'platform', 'fake', kind));

  const store = (name: string, value: unknown, expected: number | undefined) => {
    if (objects.get(name)?.version !== expected) return undefined;
    counter += 1;
    objects.set(name, { name, version: counter, value: structuredClone(value) });
    return counter;
  };
  const write = async (name: string, value: unknown, expected: number | undefined) => {
    const fault = nextFault();
    if (fault === 'down') return fail('unavailable');
    if (fault === 'delayWrite') {
      const copy = structuredClone(value);
      delayed.push(() => {
        store(name, copy, expected);
      });
      return fail('answer-lost');
    }
    const version = store(name, value, expected);
    if (fault === 'loseAnswer') return fail('answer-lost');
    return version === undefined ? fail('conflict') : ok(version);
  };

  return {
    objects,
    setFaults(next: () => PlatformFault) {
      nextFault = next;
    },
    /** Lets writes take effect whose answers were given up long ago. */
    applyDelayed() {
      for (const apply of delayed.splice(0)) apply();
    },
    client: {
      async read<Value>(name: string) {
        if (nextFault() === 'down') return fail('unavailable');
        return ok(structuredClone(objects.get(name)) as PlatformObject<Value> | undefined);
      },
      create: (name: string, value: unknown) => write(name, value, undefined),
      update: (name: string, value: unknown, expected: number) => write(name, value, expected),
    },
  };
}

/** A member with one ready instance. */
export function buildMember(nodeId: string, change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    nodeId,
    dataCentre: 'dc1',
    region: 'r1',
    incarnation: `1-${nodeId}`,
    sequence: 1,
    host: '127.0.0.1',
    callPort: 1,
    peerPort: 1,
    state: 'serving',
    instances: [
      { instanceId: `i-${nodeId}`, service: SERVICE, slots: 4, state: 'ready', readySinceMs: 1 },
    ],
    ...change,
  };
}

/** The members as `selfId` sees them; `views` may be changed between calls. */
export function createFakeMembers(selfId: string, views: Map<string, MemberView>) {
  const find = (nodeId: string) => views.get(nodeId);
  return {
    getSelf: () => find(selfId)?.record ?? buildMember(selfId),
    getMember: find,
    listByService: () => [...views.values()],
  };
}

/** A view of a member that is alive. */
export function buildView(record: MemberRecord): MemberView {
  return { record, verdict: 'alive', tag: { version: NO_VERSION, digest: '' }, sinceMs: 0 };
}
