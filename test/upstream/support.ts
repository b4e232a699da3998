/** Fakes and builders for the tests of the local dispatcher, and upstreams on loopback. */
import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';

import { createLocalDispatcher } from '../../src/core/upstream/dispatcher.js';
import { createInstanceTable } from '../../src/core/upstream/instanceTable.js';
import {
  createDeduplicationStore,
  type DeduplicationStoreOptions,
} from '../../src/core/upstream/deduplicationStore.js';
import type { UpstreamClient } from '../../src/core/upstream/upstreamClient.js';
import type { Announcement, MemberRecord } from '../../src/generated/types.js';
import type { Call } from '../../src/types/calls.js';
import { brandText, type RequestId, type ServiceName } from '../../src/types/ids.js';
import type { MemberView } from '../../src/types/interfaces.js';
import { NO_VERSION } from '../../src/types/ids.js';
import type { CompiledRoute, RoutingState } from '../../src/types/routing.js';
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
    requestId: brandText<RequestId>(randomUUID()),
    route: buildRoute(),
    method: 'POST',
    path: '/book?pad=7',
    headers: { host: 'mesh.example', 'content-type': 'text/plain' },
    body: Buffer.from('pad 7'),
    deadlineMs: performance.now() + timeoutMs,
    depth: 0,
    signal: new AbortController().signal,
    ...change,
  };
}

export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts an upstream on loopback that records the identifiers of its requests. */
export async function startUpstream(t: TestContext, handler: UpstreamHandler) {
  const receivedIds: string[] = [];
  const cancelled: string[] = [];
  const waiting: (() => void)[] = [];
  const server = createServer((request, response) => {
    const { url = '' } = request;
    if (url.startsWith('/.lycheelane/cancel/')) {
      cancelled.push(url.split('/').at(-1) ?? '');
      response.writeHead(202).end();
    } else {
      receivedIds.push(String(request.headers['lycheelane-request']));
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
    receivedIds,
    cancelled,
    /** Resolves when the condition holds; rejects when no request arrives for 20 s. */
    async waitFor(condition: () => boolean) {
      while (!condition()) {
        await new Promise<void>((resolve, reject) => {
          const timer = setTimeout(
            () => reject(new Error('no request arrived within 20 s')),
            20_000,
          );
          waiting.push(() => {
            clearTimeout(timer);
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

/** Options of `createInstanceSide`. */
export interface InstanceSideOptions {
  readonly deduplication?: Partial<DeduplicationStoreOptions>;
  readonly ttlMs?: number;
  readonly client?: UpstreamClient;
  /** Settings of the service in the configuration; without them, no configuration is installed. */
  readonly service?: Partial<CompiledRoute['service']['config']>;
}

/** Creates a dispatcher with an instance table to which tests add announcements directly. */
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
  const deduplication = createDeduplicationStore({
    maxKeys: 1000,
    retentionMs: 900_000,
    ...options.deduplication,
  });
  const { service } = buildRoute({}, options.service);
  const routing = options.service
    ? ({ services: new Map([[SERVICE, service]]) } as unknown as RoutingState)
    : undefined;
  const dispatcher = createLocalDispatcher({
    table,
    store: { getRouting: () => routing, isReady: () => true },
    deduplication,
    logger: SILENT_LOGGER,
    client: options.client,
  });
  t.after(async () => {
    table.close();
    await dispatcher.close();
  });
  return { table, deduplication, dispatcher, published };
}

export async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/** Builds the record of a member with one ready instance. */
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

/** Builds the view of a member that is alive. */
export function buildView(record: MemberRecord): MemberView {
  return { record, verdict: 'alive', tag: { version: NO_VERSION, digest: '' }, sinceMs: 0 };
}
