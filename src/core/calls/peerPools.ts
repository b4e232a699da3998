/** Bounded HTTP connection pools, one for each node to which calls are forwarded. */
import { Pool } from 'undici';
import type { MemberRecord } from '../../generated/types.js';
import type { NodeId } from '../../types/ids.js';
import { formatHostPort } from '../../utils/address.js';

/** Limits of the pools; times in milliseconds. */
export interface PoolLimits {
  /** Connections to one node; further calls wait for a free one, up to their deadline. */
  readonly connections: number;
  /** Time after which a connection attempt counts as failed. */
  readonly connectTimeoutMs: number;
  /** Must be shorter than the server's keep-alive timeout, so that the client closes first. */
  readonly idleTimeoutMs: number;
}

/** Default limits. */
export const POOL_LIMITS: PoolLimits = {
  connections: 64,
  connectTimeoutMs: 1000,
  idleTimeoutMs: 30_000,
};

/** Connection pools of this node. */
export interface PeerPools {
  /** Returns the pool for the call port of a member, at the address in its record. */
  getPool(member: MemberRecord): Pool;
  /** Closes the pool of a member once its calls in flight have completed. */
  remove(nodeId: NodeId): void;
  /** Destroys all pools; calls in flight fail. */
  close(): Promise<void>;
}

/** Creates a pool with options that prevent undici from resending requests (design section 10). */
export function createPeerPool(host: string, port: number, limits: PoolLimits): Pool {
  return new Pool(`http://${formatHostPort(host, port)}`, {
    connections: limits.connections,
    pipelining: 1,
    keepAliveTimeout: limits.idleTimeoutMs,
    keepAliveMaxTimeout: limits.idleTimeoutMs,
    // Disabled: the deadline of each call limits the time for its headers and body.
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: limits.connectTimeoutMs, keepAlive: true },
  });
}

export function createPeerPools(limits: PoolLimits = POOL_LIMITS): PeerPools {
  const pools = new Map<string, { host: string; port: number; pool: Pool }>();
  const closePool = (nodeId: string) => {
    const entry = pools.get(nodeId);
    if (!entry) return;
    pools.delete(nodeId);
    entry.pool.close().catch(() => {});
  };
  return {
    getPool({ nodeId, host, callPort }) {
      const existing = pools.get(nodeId);
      if (existing?.host === host && existing.port === callPort) return existing.pool;
      closePool(nodeId);
      const pool = createPeerPool(host, callPort, limits);
      pools.set(nodeId, { host, port: callPort, pool });
      return pool;
    },
    remove: closePool,
    async close() {
      const entries = [...pools.values()];
      pools.clear();
      await Promise.all(entries.map((entry) => entry.pool.destroy()));
    },
  };
}
