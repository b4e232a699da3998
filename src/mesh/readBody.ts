import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from './bodyBuffer.js';
import { freeBlock } from './memory/freeBlock.js';
import type { HeldRequestBody } from './requestMemory.js';

const EMPTY_BODY = Buffer.alloc(0);

/** Reason why a body could not be read; `no-memory` when it was evicted for other bodies. */
export type BodyError = 'too-large' | 'truncated' | 'no-memory';

/** Returns the length of a body that a request names, in bytes; 0 if it names none. */
function getLength({ headers }: IncomingMessage, maxBytes: number): number {
  const length = Number(headers['content-length'] ?? 0);
  return Number.isSafeInteger(length) && length <= maxBytes ? length : 0;
}

/** Reads the body of a request of at most `maxBytes`; `held` counts it while it is read. */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
  held?: HeldRequestBody,
): Promise<Buffer | BodyError> {
  return new Promise((resolve) => {
    let body: BodyBuffer | undefined = new BodyBuffer(getLength(message, maxBytes), maxBytes);
    const settle = (result: Buffer | BodyError) => {
      if (typeof result === 'string') body?.discard();
      body = undefined;
      resolve(result);
    };
    held?.onEvict(() => settle('no-memory'));
    message.on('data', (part: Buffer) => {
      if (!body) {
        freeBlock(part);
        return;
      }
      if (body.bytes + part.length > maxBytes) {
        settle('too-large');
        return;
      }
      const { heldBytes } = body;
      // The parser of `node:http` hands over a copy of each part, which is not needed any more.
      if (body.append(part)) freeBlock(part);
      if (body.heldBytes > heldBytes) held?.grow(body.heldBytes - heldBytes);
    });
    message.once('end', () => {
      held?.complete();
      settle(body?.toBuffer() ?? EMPTY_BODY);
    });
    message.once('close', () => settle('truncated'));
    message.once('error', () => settle('truncated'));
  });
}
