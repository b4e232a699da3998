/** HTTP connections to the upstreams of this host. */
import { Client, Pool, type Dispatcher } from 'undici';
import { formatHostPort } from '../../utils/address.js';
import type { InstanceEntry } from './instanceTable.js';

/** Connecting over loopback takes about 1 ms, but a full accept queue drops the first attempt. */
const CONNECT_TIMEOUT_MS = 1500;
const CANCEL_TIMEOUT_MS = 2000;

/** Connection pools of the instances: up to `connections` and one for cancellations each. */
export interface UpstreamClient {
  /** Returns the pool for exchanges; a new one when the address or `connections` has changed. */
  getPool(entry: InstanceEntry, connections: number): Dispatcher;
  /** Asks the upstream to stop a request; true when it accepted the cancellation. */
  sendCancel(entry: InstanceEntry, requestId: string): Promise<boolean>;
  /** Closes the idle connections to an instance; exchanges in flight continue. */
  removeInstance(entry: InstanceEntry): void;
  close(): Promise<void>;
}

interface Connections {
  readonly key: string;
  readonly pool: Pool;
  cancelClient: Client | undefined;
}

/** Creates a client without connections. */
export function createUpstreamClient(): UpstreamClient {
  const byInstance = new Map<string, Connections>();
  const closing = new Set<Promise<unknown>>();

  const track = (work: Promise<unknown>) => {
    const settled = work.catch(() => undefined).finally(() => closing.delete(settled));
    closing.add(settled);
  };

  const closeConnections = (connections: Connections) => {
    track(connections.pool.close());
    if (connections.cancelClient) track(connections.cancelClient.close());
  };

  const getOrigin = ({ host, port }: InstanceEntry) => `http://${formatHostPort(host, port)}`;

  return {
    getPool(entry, connections) {
      const origin = getOrigin(entry);
      const key = `${origin} ${connections}`;
      const existing = byInstance.get(entry.instanceId);
      if (existing?.key === key) return existing.pool;
      if (existing) closeConnections(existing);
      const pool = new Pool(origin, {
        connections,
        pipelining: 1,
        // No time limits here: the caller's wait ends at the deadline, but the slot stays occupied
        // until the upstream has finished.
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      byInstance.set(entry.instanceId, { key, pool, cancelClient: undefined });
      return pool;
    },
    async sendCancel(entry, requestId) {
      const connections = byInstance.get(entry.instanceId);
      if (!connections) return false;
      // Use a separate client, since exchanges may occupy every connection of the pool.
      connections.cancelClient ??= new Client(getOrigin(entry), {
        pipelining: 1,
        headersTimeout: CANCEL_TIMEOUT_MS,
        bodyTimeout: CANCEL_TIMEOUT_MS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      try {
        const path = `/.lycheelane/cancel/${encodeURIComponent(requestId)}`;
        const answer = await connections.cancelClient.request({ method: 'POST', path });
        await answer.body.dump();
        return answer.statusCode < 300;
      } catch {
        return false;
      }
    },
    removeInstance(entry) {
      const connections = byInstance.get(entry.instanceId);
      if (!connections) return;
      byInstance.delete(entry.instanceId);
      closeConnections(connections);
    },
    async close() {
      for (const { pool, cancelClient } of byInstance.values()) {
        track(pool.destroy());
        if (cancelClient) track(cancelClient.destroy());
      }
      byInstance.clear();
      await Promise.all(closing);
    },
  };
}
