/** HTTP server of the platform stand-in: object API with conditional writes, watches and faults. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { formatHostPort } from '../../src/utils/address.js';
import { closeServer, openServer, readBody, sendJson } from '../http.js';
import { createRandom } from '../random.js';
import { PlatformCounters, type PlatformStats } from './counters.js';
import { NO_FAULTS, validateFaults, type PlatformFaults } from './faults.js';
import { chooseCallKind, parseCondition, parseTarget, type Target } from './request.js';
import { ObjectStore, type LogBounds } from './store.js';
import { answerWatch, type WatchContext } from './watch.js';

/** Largest value of an object. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Options of a platform stand-in. */
export interface PlatformOptions {
  readonly host?: string;
  /** 0 picks a free port. */
  readonly port?: number;
  /** Seed of the draws for `failPercent`. */
  readonly seed?: number;
  readonly logBounds?: LogBounds;
}

/** A running platform stand-in. */
export interface Platform {
  readonly url: string;
  readonly host: string;
  readonly port: number;
  readonly store: ObjectStore;
  /** Changes the named faults and keeps the others. */
  setFaults(change: Partial<PlatformFaults>): void;
  getFaults(): Readonly<PlatformFaults>;
  getStats(): PlatformStats;
  resetStats(): void;
  close(): Promise<void>;
}

/** Starts a platform stand-in. */
export async function startPlatform(options: PlatformOptions = {}): Promise<Platform> {
  const host = options.host ?? '127.0.0.1';
  const store = new ObjectStore(options.logBounds);
  const counters = new PlatformCounters();
  const random = createRandom(options.seed ?? 1);
  const faults: PlatformFaults = { ...NO_FAULTS };
  const waiting = new Set<ServerResponse>();
  const watchContext: WatchContext = { store, faults, counters, waiting };

  /** Decides whether the answer of a write that took effect is lost. */
  const shouldLoseAnswer = (): boolean => {
    if (faults.loseWriteAnswers === false || faults.loseWriteAnswers === 0) return false;
    if (typeof faults.loseWriteAnswers === 'number') faults.loseWriteAnswers -= 1;
    counters.lostAnswers += 1;
    return true;
  };

  const answerWrite = async (
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
    if (shouldLoseAnswer()) {
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

  const answerTarget = async (
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
        return answerWatch(watchContext, target, response);
      case 'object': {
        if (request.method !== 'GET') return answerWrite(target, request, response);
        const found = store.getObject(target.kind, target.name);
        if (found === undefined) return sendJson(response, 404, { error: 'no such object' });
        return sendJson(response, 200, found.value, { etag: `"${found.version}"` });
      }
      default:
        return target satisfies never;
    }
  };

  const setFaults = (change: Partial<PlatformFaults>): void => {
    const wrong = validateFaults(change);
    if (wrong.length > 0) throw new RangeError(`unknown or malformed faults: ${wrong.join(', ')}`);
    Object.assign(faults, change);
    if (faults.down || faults.cutWatches) waiting.forEach((response) => response.destroy());
  };

  const answerControl = async (request: IncomingMessage, response: ServerResponse) => {
    const route = `${request.method} ${request.url}`;
    if (route === 'GET /control/stats') return sendJson(response, 200, counters.getStats());
    if (route === 'GET /control/faults') return sendJson(response, 200, faults);
    if (route === 'DELETE /control/stats') {
      counters.reset();
      return sendJson(response, 200, counters.getStats());
    }
    if (route !== 'PUT /control/faults') return sendJson(response, 404, { error: 'unknown' });
    try {
      setFaults(JSON.parse(((await readBody(request, 65_536)) ?? '').toString()));
    } catch (thrown) {
      return sendJson(response, 400, { error: String(thrown) });
    }
    return sendJson(response, 200, faults);
  };

  const answerCall = async (request: IncomingMessage, response: ServerResponse) => {
    if (request.url?.startsWith('/control/')) return answerControl(request, response);
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
      // An outage that began meanwhile reaches this call too, before it takes effect.
      if (faults.down) {
        request.socket.destroy();
        return undefined;
      }
    }
    if (random() * 100 < faults.failPercent) {
      request.resume();
      return sendJson(response, 503, { error: 'unavailable' });
    }
    return answerTarget(target, request, response);
  };

  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    answerCall(request, response).catch(() => response.destroy());
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
