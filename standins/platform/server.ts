/** HTTP server of the platform stand-in: conditional writes, long polls and fault injection. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { formatHostPort } from '../../src/utils/address.js';
import { closeServer, openServer, readBody, sendJson } from '../http.js';
import { createRandom } from '../random.js';
import { PlatformCounters, type PlatformStats } from './counters.js';
import { NO_FAULTS, validateFaults, type PlatformFaults } from './faults.js';
import { chooseCallKind, parseCondition, parseTarget, type Target } from './request.js';
import { ObjectStore, type LogBounds } from './store.js';
import { handleWatch, type WatchContext } from './watch.js';

export const MAX_VALUE_BYTES = 1_048_576;

const MAX_CONTROL_BODY_BYTES = 65_536;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const PERCENT = 100;

export interface PlatformOptions {
  readonly host?: string;
  /** 0 selects a free port. */
  readonly port?: number;
  /** Seed of the random numbers for `failPercent`. */
  readonly seed?: number;
  readonly logBounds?: LogBounds;
}

/** A running platform stand-in. */
export interface Platform {
  readonly url: string;
  readonly host: string;
  readonly port: number;
  readonly store: ObjectStore;
  /** Sets the given faults and keeps the others. */
  setFaults(change: Partial<PlatformFaults>): void;
  getFaults(): Readonly<PlatformFaults>;
  getStats(): PlatformStats;
  resetStats(): void;
  close(): Promise<void>;
}

export async function startPlatform(options: PlatformOptions = {}): Promise<Platform> {
  const host = options.host ?? '127.0.0.1';
  const store = new ObjectStore(options.logBounds);
  const counters = new PlatformCounters();
  const random = createRandom(options.seed ?? 1);
  const faults: PlatformFaults = { ...NO_FAULTS };
  const waitingResponses = new Set<ServerResponse>();
  const watchContext: WatchContext = { store, faults, counters, waitingResponses };

  /** Returns true if the response of a completed write has to be dropped, and counts it. */
  const shouldDropResponse = (): boolean => {
    if (faults.loseWriteAnswers === false || faults.loseWriteAnswers === 0) return false;
    if (typeof faults.loseWriteAnswers === 'number') faults.loseWriteAnswers -= 1;
    counters.lostAnswers += 1;
    return true;
  };

  const handleWrite = async (
    target: Extract<Target, { area: 'object' }>,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const condition = parseCondition(request);
    const body = await readBody(request, MAX_VALUE_BYTES);
    counters.bytesIn += body?.length ?? 0;
    if (condition === 'missing') return sendJson(response, 428, { error: 'condition required' });
    if (condition === 'invalid') return sendJson(response, 400, { error: 'malformed condition' });
    if (body === undefined) {
      return sendJson(response, 413, { error: 'value too large', limitBytes: MAX_VALUE_BYTES });
    }
    let result;
    if (request.method === 'DELETE') {
      if (condition.kind === 'absent') {
        return sendJson(response, 400, { error: 'If-Match required' });
      }
      result = store.remove(target.kind, target.name, condition.version);
    } else {
      let value: unknown;
      try {
        value = JSON.parse(body.toString('utf8'));
      } catch {
        return sendJson(response, 400, { error: 'value is not JSON' });
      }
      result = store.write(target.kind, target.name, value, condition, body.length);
    }
    if (result.kind === 'missing') return sendJson(response, 404, { error: 'no such object' });
    if (result.kind === 'conflict') return sendJson(response, 412, { error: 'version conflict' });
    if (shouldDropResponse()) {
      response.destroy();
      return undefined;
    }
    if (request.method === 'DELETE') {
      response.writeHead(204).end();
      return undefined;
    }
    const headers = { etag: `"${result.version}"` };
    return sendJson(response, result.created ? 201 : 200, { version: result.version }, headers);
  };

  const handleTarget = async (
    target: Target,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    switch (target.area) {
      case 'list': {
        const objects = store.listObjects(target.kind);
        return sendJson(response, 200, { version: store.version, objects });
      }
      case 'watch':
        return handleWatch(watchContext, target, response);
      case 'object': {
        if (request.method !== 'GET') return handleWrite(target, request, response);
        const found = store.getObject(target.kind, target.name);
        if (found === undefined) return sendJson(response, 404, { error: 'no such object' });
        return sendJson(response, 200, found.value, { etag: `"${found.version}"` });
      }
      default:
        return target satisfies never;
    }
  };

  const setFaults = (change: Partial<PlatformFaults>): void => {
    const invalidNames = validateFaults(change);
    if (invalidNames.length > 0) {
      throw new RangeError(`unknown or malformed faults: ${invalidNames.join(', ')}`);
    }
    Object.assign(faults, change);
    if (faults.down || faults.cutWatches) {
      waitingResponses.forEach((response) => response.destroy());
    }
  };

  const handleControl = async (request: IncomingMessage, response: ServerResponse) => {
    const route = `${request.method} ${request.url}`;
    if (route === 'GET /control/stats') return sendJson(response, 200, counters.getStats());
    if (route === 'GET /control/faults') return sendJson(response, 200, faults);
    if (route === 'DELETE /control/stats') {
      counters.reset();
      return sendJson(response, 200, counters.getStats());
    }
    if (route !== 'PUT /control/faults') return sendJson(response, 404, { error: 'unknown' });
    try {
      setFaults(JSON.parse(((await readBody(request, MAX_CONTROL_BODY_BYTES)) ?? '').toString()));
    } catch (thrown) {
      return sendJson(response, 400, { error: String(thrown) });
    }
    return sendJson(response, 200, faults);
  };

  const handleCall = async (request: IncomingMessage, response: ServerResponse) => {
    if (request.url?.startsWith('/control/')) return handleControl(request, response);
    if (faults.down) {
      counters.refused += 1;
      request.socket.destroy();
      return undefined;
    }
    const target = parseTarget(request.url ?? '/');
    if (target === undefined) return sendJson(response, 404, { error: 'no such resource' });
    const callKind = chooseCallKind(target, request);
    if (callKind === undefined) return sendJson(response, 405, { error: 'method not allowed' });
    counters.recordCall(callKind, target.kind);
    response.once('finish', () => {
      counters.recordStatus(response.statusCode);
      counters.bytesOut += Number(response.getHeader('content-length') ?? 0);
    });
    if (faults.delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, faults.delayMs);
      });
      // The fault `down` may have been set during the delay; the request then has no effect.
      if (faults.down) {
        request.socket.destroy();
        return undefined;
      }
    }
    if (random() * PERCENT < faults.failPercent) {
      request.resume();
      return sendJson(response, 503, { error: 'unavailable' });
    }
    return handleTarget(target, request, response);
  };

  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (request, response) => {
    handleCall(request, response).catch(() => response.destroy());
  });
  const port = await openServer(server, host, options.port ?? 0);
  return {
    url: `http://${formatHostPort(host, port)}`,
    host,
    port,
    store,
    setFaults,
    getFaults: () => ({ ...faults }),
    getStats: () => counters.getStats(),
    resetStats: () => counters.reset(),
    close: () => closeServer(server),
  };
}
