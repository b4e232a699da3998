/** Buffers request bodies within a limit per call and a limit for all calls. */
import type { IncomingMessage } from 'node:http';
import { ok, type Result } from 'neverthrow';
import { refuse, type Refusal } from './refusal.js';

const EMPTY_BUFFER = Buffer.alloc(0);

/** Limits of request bodies and the number of bytes buffered now. */
export interface BodyBudget {
  readonly maxBodyBytes: number;
  readonly maxBufferedBytes: number;
  bufferedBytes: number;
}

/** A complete body; `release` returns its bytes to the budget and may be called repeatedly. */
export interface BufferedBody {
  readonly body: Buffer;
  release(): void;
}

const EMPTY_BODY: BufferedBody = { body: EMPTY_BUFFER, release: () => {} };

function collectBody(
  request: IncomingMessage,
  budget: BodyBudget,
  deadlineMs: number,
): Promise<Result<BufferedBody, Refusal>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      Object.assign(budget, { bufferedBytes: budget.bufferedBytes - bytes });
    };
    let timer: NodeJS.Timeout;
    let isDone = false;
    const finish = (result: Result<BufferedBody, Refusal>) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      request.removeAllListeners('data');
      if (result.isErr()) {
        release();
        // Discards the rest: closing with unread bytes could reset the connection before the
        // caller reads the refusal.
        request.resume();
      }
      resolve(result);
    };
    const addChunk = (chunk: Buffer) => {
      bytes += chunk.length;
      Object.assign(budget, { bufferedBytes: budget.bufferedBytes + chunk.length });
      if (bytes > budget.maxBodyBytes) {
        finish(refuse('bad-request', 'the request body is too large', 413));
      } else if (budget.bufferedBytes > budget.maxBufferedBytes) {
        finish(refuse('overloaded', 'too many request bytes are buffered'));
      } else {
        chunks.push(chunk);
      }
    };
    const refuseTruncated = () => finish(refuse('cancelled', 'the request body was truncated'));
    timer = setTimeout(
      () => finish(refuse('deadline', 'the deadline passed while the body was read')),
      Math.max(0, deadlineMs - performance.now()),
    );
    request.on('data', addChunk);
    request.once('end', () => {
      const [first = EMPTY_BUFFER] = chunks;
      const body = chunks.length > 1 ? Buffer.concat(chunks, bytes) : first;
      finish(ok({ body, release }));
    });
    request.once('error', refuseTruncated);
    request.once('close', refuseTruncated);
  });
}

/**
 * Reads the body until it is complete or `deadlineMs` (on the `performance.now` scale) passes.
 * A truncated, too large or too slow body is refused, so that no instance receives part of it.
 */
export function readBody(
  request: IncomingMessage,
  budget: BodyBudget,
  deadlineMs: number,
): Promise<Result<BufferedBody, Refusal>> {
  const { headers } = request;
  const length = headers['content-length'];
  if (headers['transfer-encoding'] === undefined && (length === undefined || length === '0')) {
    // Lets Node read the end of the message, so that the connection can be reused.
    request.resume();
    return Promise.resolve(ok(EMPTY_BODY));
  }
  const statedBytes = Number(length ?? 0);
  if (statedBytes > budget.maxBodyBytes) {
    return Promise.resolve(refuse('bad-request', 'the request body is too large', 413));
  }
  if (budget.bufferedBytes + statedBytes > budget.maxBufferedBytes) {
    return Promise.resolve(refuse('overloaded', 'too many request bytes are buffered'));
  }
  return collectBody(request, budget, deadlineMs);
}
