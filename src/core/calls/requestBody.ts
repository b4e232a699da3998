/** Reads request bodies completely, within a limit for each call and one for all together. */
import type { IncomingMessage } from 'node:http';
import { ok, type Result } from 'neverthrow';
import { refuse, type Refusal } from './refusal.js';

const EMPTY = Buffer.alloc(0);

/** Limits of request bodies and the bytes held at the moment. */
export interface BodyBudget {
  readonly maxBodyBytes: number;
  readonly maxBufferedBytes: number;
  bufferedBytes: number;
}

/** A body that was read; `release` gives its bytes back to the budget, once. */
export interface HeldBody {
  readonly body: Buffer;
  release(): void;
}

const NOTHING_HELD: HeldBody = { body: EMPTY, release: () => {} };

function collectBody(
  request: IncomingMessage,
  budget: BodyBudget,
  deadlineMs: number,
): Promise<Result<HeldBody, Refusal>> {
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
    const finish = (result: Result<HeldBody, Refusal>) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      request.removeAllListeners('data');
      if (result.isErr()) {
        release();
        // The rest is discarded: closing with unread bytes could lose the refusal on its way.
        request.resume();
      }
      resolve(result);
    };
    const add = (chunk: Buffer) => {
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
    const refuseTruncated = () => finish(refuse('cancelled', 'the request body broke off'));
    timer = setTimeout(
      () => finish(refuse('deadline', 'the deadline passed while the body was read')),
      Math.max(0, deadlineMs - performance.now()),
    );
    request.on('data', add);
    request.once('end', () => {
      const [first = EMPTY] = chunks;
      const body = chunks.length > 1 ? Buffer.concat(chunks, bytes) : first;
      finish(ok({ body, release }));
    });
    request.once('error', refuseTruncated);
    request.once('close', refuseTruncated);
  });
}

/**
 * Reads the body until it is complete or `deadlineMs` (on the `performance.now` scale) passes.
 * A body that breaks off, is too large or too slow is refused, so no instance sees a part of it.
 */
export function readBody(
  request: IncomingMessage,
  budget: BodyBudget,
  deadlineMs: number,
): Promise<Result<HeldBody, Refusal>> {
  const { headers } = request;
  const length = headers['content-length'];
  if (headers['transfer-encoding'] === undefined && (length === undefined || length === '0')) {
    // Lets Node see the end of the message, so that the connection can be used again.
    request.resume();
    return Promise.resolve(ok(NOTHING_HELD));
  }
  const stated = Number(length ?? 0);
  if (stated > budget.maxBodyBytes) {
    return Promise.resolve(refuse('bad-request', 'the request body is too large', 413));
  }
  if (budget.bufferedBytes + stated > budget.maxBufferedBytes) {
    return Promise.resolve(refuse('overloaded', 'too many request bytes are buffered'));
  }
  return collectBody(request, budget, deadlineMs);
}
