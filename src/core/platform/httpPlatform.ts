/** Client of the platform's object API over HTTP/1.1. */
import { err, ok, type Result } from 'neverthrow';
import { Pool } from 'undici';
import { buildError, type StepError } from '../../errors.js';
import type { PlatformClient, PlatformObject, WatchResponse } from '../../types/interfaces.js';
import { decodeList, decodeObject, decodeVersion, decodeWatch } from './decodeResponse.js';
import { MAX_VALUE_BYTES } from './limits.js';
import { buildStatusError, toTransportError } from './platformErrors.js';
import { readLimitedText } from './readLimitedText.js';

/** Limits of the client. */
export interface HttpPlatformOptions {
  /** Time-out of one request, from its start to the last byte of its response. */
  readonly timeoutMs?: number;
  /** Largest response to a read of one object, a write or a watch. */
  readonly maxResponseBytes?: number;
  /** Largest response to a list. */
  readonly maxListBytes?: number;
  /** Maximum number of connections to the platform; a waiting watch occupies one. */
  readonly connections?: number;
}

/** Allowance for the JSON around the value in a watch response. */
const WATCH_OVERHEAD_BYTES = 65_536;
/** Size of the largest list response, in values of maximum size. */
const MAX_LIST_VALUES = 16;

const DEFAULTS = {
  timeoutMs: 5000,
  maxResponseBytes: MAX_VALUE_BYTES + WATCH_OVERHEAD_BYTES,
  maxListBytes: MAX_LIST_VALUES * MAX_VALUE_BYTES,
  connections: 4,
};

interface PlatformRequest {
  readonly step: string;
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
  readonly maxBytes?: number;
  readonly signal?: AbortSignal;
}

interface PlatformResponse {
  readonly status: number;
  readonly etag: string | undefined;
  readonly text: string;
}

function buildPath(resource: 'objects' | 'watch', name: string): string {
  return `/v1/${resource}/${name.split('/').map(encodeURIComponent).join('/')}`;
}

/** Creates a client of the platform at `baseUrl`; error kinds as in `PlatformClient`. */
export function createHttpPlatform(
  baseUrl: string,
  options: HttpPlatformOptions = {},
): PlatformClient {
  const limits = { ...DEFAULTS, ...options };
  const { origin, pathname } = new URL(baseUrl);
  const prefix = pathname.replace(/\/$/, '');
  // No pipelining: a write must not share a connection with other requests in flight.
  const pool = new Pool(origin, { connections: limits.connections, pipelining: 1 });

  const sendRequest = async (
    request: PlatformRequest,
  ): Promise<Result<PlatformResponse, StepError>> => {
    const isWrite = request.method !== 'GET';
    const timeout = AbortSignal.timeout(request.timeoutMs ?? limits.timeoutMs);
    const signal = request.signal ? AbortSignal.any([request.signal, timeout]) : timeout;
    const context = { step: request.step, peer: origin, isWrite };
    try {
      const response = await pool.request({
        method: request.method,
        path: `${prefix}${request.path}`,
        headers: request.headers,
        body: request.body,
        signal,
      });
      const text = await readLimitedText(
        response.body,
        request.maxBytes ?? limits.maxResponseBytes,
      );
      const statusError = buildStatusError(response.statusCode, text, context);
      if (statusError) return err(statusError);
      const { etag } = response.headers;
      return ok({ status: response.statusCode, etag: etag?.toString(), text });
    } catch (thrown) {
      return err(toTransportError(thrown, context));
    }
  };

  const write = async (step: string, name: string, value: unknown, condition: string[]) => {
    const body = JSON.stringify(value);
    const bytes = Buffer.byteLength(body);
    if (bytes > MAX_VALUE_BYTES) {
      const message = `${name} has ${bytes} bytes, the platform accepts ${MAX_VALUE_BYTES}`;
      return err(buildError('too-large', step, origin, message));
    }
    const [header = '', version = ''] = condition;
    const headers = { 'content-type': 'application/json', [header]: version };
    const path = buildPath('objects', name);
    const response = await sendRequest({ step, method: 'PUT', path, headers, body });
    return response.andThen(({ etag }) =>
      decodeVersion(etag, { step, peer: origin, isWrite: true }),
    );
  };

  return {
    async read<Value>(name: string) {
      const step = 'platform.read';
      const response = await sendRequest({ step, method: 'GET', path: buildPath('objects', name) });
      if (response.isErr() && response.error.kind === 'not-found') return ok(undefined);
      const context = { step, peer: origin, isWrite: false };
      return response.andThen(({ text, etag }) => decodeObject<Value>(name, text, etag, context));
    },
    async list<Value>(kind: string) {
      const step = 'platform.list';
      const path = buildPath('objects', kind);
      const response = await sendRequest({
        step,
        method: 'GET',
        path,
        maxBytes: limits.maxListBytes,
      });
      const context = { step, peer: origin, isWrite: false };
      return response.andThen(({ text }): Result<readonly PlatformObject<Value>[], StepError> =>
        decodeList<Value>(kind, text, context),
      );
    },
    create: (name, value) => write('platform.create', name, value, ['if-none-match', '*']),
    update: (name, value, expected) =>
      write('platform.update', name, value, ['if-match', `"${expected}"`]),
    async remove(name, expected) {
      const headers = { 'if-match': `"${expected}"` };
      const path = buildPath('objects', name);
      const response = await sendRequest({
        step: 'platform.remove',
        method: 'DELETE',
        path,
        headers,
      });
      return response.map(() => undefined);
    },
    async watch(name, from, waitMs, signal): Promise<Result<WatchResponse, StepError>> {
      const step = 'platform.watch';
      const path = `${buildPath('watch', name)}?from=${from}&waitMs=${waitMs}`;
      const timeoutMs = waitMs + limits.timeoutMs;
      const response = await sendRequest({ step, method: 'GET', path, timeoutMs, signal });
      return response.andThen(({ text }) =>
        decodeWatch(name, text, { step, peer: origin, isWrite: false }),
      );
    },
    close: () => pool.destroy(),
  };
}
