/** Client of the platform's object API over HTTP/1.1. */
import { err, ok, type Result } from 'neverthrow';
import { Pool } from 'undici';
import { buildError, type StepError } from '../../errors.js';
import type { PlatformClient, PlatformObject, WatchResponse } from '../../types/interfaces.js';
import { decodeList, decodeObject, decodeVersion, decodeWatch } from './decodeAnswer.js';
import { MAX_VALUE_BYTES } from './limits.js';
import { buildStatusError, toTransportError } from './platformErrors.js';
import { readLimitedText } from './readLimitedText.js';

/** Limits of the client; times in milliseconds, sizes in bytes. */
export interface HttpPlatformOptions {
  /** Time for one call, from its start to the last byte of its response. */
  readonly timeoutMs?: number;
  /** Largest response to a read of one object, a write or a watch. */
  readonly maxResponseBytes?: number;
  /** Largest response to a list. */
  readonly maxListBytes?: number;
  /** Connections to the platform; a waiting watch occupies one. */
  readonly connections?: number;
}

const DEFAULTS = {
  timeoutMs: 5000,
  // A watch response wraps a value of the largest size.
  maxResponseBytes: MAX_VALUE_BYTES + 65_536,
  maxListBytes: 16 * MAX_VALUE_BYTES,
  connections: 4,
};

interface Exchange {
  readonly step: string;
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
  readonly maxBytes?: number;
  readonly signal?: AbortSignal;
}

interface Answer {
  readonly status: number;
  readonly etag: string | undefined;
  readonly text: string;
}

function buildPath(folder: 'objects' | 'watch', name: string): string {
  return `/v1/${folder}/${name.split('/').map(encodeURIComponent).join('/')}`;
}

/** Creates a client of the platform at `baseUrl`; error kinds as in `PlatformClient`. */
export function createHttpPlatform(
  baseUrl: string,
  options: HttpPlatformOptions = {},
): PlatformClient {
  const limits = { ...DEFAULTS, ...options };
  const { origin, pathname } = new URL(baseUrl);
  const prefix = pathname.replace(/\/$/, '');
  // Writes must not share a connection with other calls in flight, so there is no pipelining.
  const pool = new Pool(origin, { connections: limits.connections, pipelining: 1 });

  const runExchange = async (call: Exchange): Promise<Result<Answer, StepError>> => {
    const isWrite = call.method !== 'GET';
    const deadline = AbortSignal.timeout(call.timeoutMs ?? limits.timeoutMs);
    const signal = call.signal ? AbortSignal.any([call.signal, deadline]) : deadline;
    const where = { step: call.step, peer: origin, isWrite };
    try {
      const response = await pool.request({
        method: call.method,
        path: `${prefix}${call.path}`,
        headers: call.headers,
        body: call.body,
        signal,
      });
      const text = await readLimitedText(response.body, call.maxBytes ?? limits.maxResponseBytes);
      const failure = buildStatusError(response.statusCode, text, where);
      if (failure) return err(failure);
      const { etag } = response.headers;
      return ok({ status: response.statusCode, etag: etag?.toString(), text });
    } catch (thrown) {
      return err(toTransportError(thrown, where));
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
    const answer = await runExchange({ step, method: 'PUT', path, headers, body });
    return answer.andThen(({ etag }) => decodeVersion(etag, { step, peer: origin, isWrite: true }));
  };

  return {
    async read<Value>(name: string) {
      const step = 'platform.read';
      const answer = await runExchange({ step, method: 'GET', path: buildPath('objects', name) });
      if (answer.isErr() && answer.error.kind === 'not-found') return ok(undefined);
      const where = { step, peer: origin, isWrite: false };
      return answer.andThen(({ text, etag }) => decodeObject<Value>(name, text, etag, where));
    },
    async list<Value>(kind: string) {
      const step = 'platform.list';
      const path = buildPath('objects', kind);
      const answer = await runExchange({
        step,
        method: 'GET',
        path,
        maxBytes: limits.maxListBytes,
      });
      const where = { step, peer: origin, isWrite: false };
      return answer.andThen(({ text }): Result<readonly PlatformObject<Value>[], StepError> =>
        decodeList<Value>(kind, text, where),
      );
    },
    create: (name, value) => write('platform.create', name, value, ['if-none-match', '*']),
    update: (name, value, expected) =>
      write('platform.update', name, value, ['if-match', `"${expected}"`]),
    async remove(name, expected) {
      const headers = { 'if-match': `"${expected}"` };
      const path = buildPath('objects', name);
      const answer = await runExchange({
        step: 'platform.remove',
        method: 'DELETE',
        path,
        headers,
      });
      return answer.map(() => undefined);
    },
    async watch(name, from, waitMs, signal): Promise<Result<WatchResponse, StepError>> {
      const step = 'platform.watch';
      const path = `${buildPath('watch', name)}?from=${from}&waitMs=${waitMs}`;
      const timeoutMs = waitMs + limits.timeoutMs;
      const answer = await runExchange({ step, method: 'GET', path, timeoutMs, signal });
      return answer.andThen(({ text }) =>
        decodeWatch(name, text, { step, peer: origin, isWrite: false }),
      );
    },
    close: () => pool.destroy(),
  };
}
