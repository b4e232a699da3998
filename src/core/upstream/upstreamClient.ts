/** HTTP connections to the upstreams of this host. */
import { Client, Pool, type Dispatcher } from 'undici';
import { formatHostPort } from '../../utils/address.js';
import type { InstanceEntry } from './instanceTable.js';

/** A loopback connection is made in about 1 ms; a full accept queue drops the first attempt. */
const CONNECT_TIMEOUT_MS = 1500;
const CANCEL_TIMEOUT_MS = 2000;

/** Connections to the instances, at most `connections` and one for cancellation to each. */
export interface UpstreamClient {
  /** Returns the connections for exchanges; a new pool when address or bound have changed. */
  getPool(entry: InstanceEntry, connections: number): Dispatcher;
  /** Asks the upstream to stop a request; true when it accepted the cancellation. */
  sendCancel(entry: InstanceEntry, requestId: string): Promise<boolean>;
  /** Closes the idle connections to an instance; exchanges under way go on. */
  removeInstance(entry: InstanceEntry): void;
  close(): Promise<void>;
}

interface Connections {
  readonly key: string;
  readonly pool: Pool;
  cancels: Client | undefined;
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
    if (connections.cancels) track(connections.cancels.close());
  };

  const getOrigin = ({ host, port }: InstanceEntry) => `http://${formatHostPort(host, port)}`;

  return {
    getPool(entry, connections) {
      const origin = getOrigin(entry);
      const key = `${origin} ${connections}`;
      const known = byInstance.get(entry.instanceId);
      if (known?.key === key) return known.pool;
      if (known) closeConnections(known);
      const pool = new Pool(origin, {
        connections,
        pipelining: 1,
        // The deadline of the call limits the wait; the slot must outlast it.
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      byInstance.set(entry.instanceId, { key, pool, cancels: undefined });
      return pool;
    },
    async sendCancel(entry, requestId) {
      const connections = byInstance.get(entry.instanceId);
      if (!connections) return false;
      // A client of its own: the exchanges may hold every connection of the pool.
      connections.cancels ??= new Client(getOrigin(entry), {
        pipelining: 1,
        headersTimeout: CANCEL_TIMEOUT_MS,
        bodyTimeout: CANCEL_TIMEOUT_MS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      try {
        const path = `/.lycheelane/cancel/${encodeURIComponent(requestId)}`;
        const answer = await connections.cancels.request({ method: 'POST', path });
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
      for (const { pool, cancels } of byInstance.values()) {
        track(pool.destroy());
        if (cancels) track(cancels.destroy());
      }
      byInstance.clear();
      await Promise.all(closing);
    },
  };
}
