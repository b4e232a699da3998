import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from './bodyBuffer.js';
import { freeBlock } from './memory/freeBlock.js';
import type { HeldRequestBody } from './requestMemory.js';

/** Reason why a body could not be read; `no-memory` when it was evicted for other bodies. */
export type BodyError = 'too-large' | 'truncated' | 'no-memory';

/** Returns the length of a body that a request names, in bytes; 0 if it names none. */
function getLength({ headers }: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}

/**
 * Drops the rest of a body that is not needed, of at most `maxBytes`; the connection of a longer
 * one is closed.
 */
export function discardBody(message: IncomingMessage, maxBytes: number): void {
  let bytes = 0;
  message.on('data', (part: Buffer) => {
    bytes += part.length;
    freeBlock(part);
    if (bytes > maxBytes) message.destroy();
  });
}

/** Reads the body of a request of at most `maxBytes`; `held` counts it while it is read. */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
  held?: HeldRequestBody,
): Promise<Buffer | BodyError> {
  const length = getLength(message);
  if (length > maxBytes) return Promise.resolve('too-large');
  return new Promise((resolve) => {
    const body = new BodyBuffer(length, maxBytes);
    let hasSettled = false;
    const settle = (result: Buffer | BodyError) => {
      if (hasSettled) return;
      hasSettled = true;
      if (typeof result === 'string') body.discard();
      resolve(result);
    };
    message.on('data', (part: Buffer) => {
      if (hasSettled) return;
      if (body.bytes + part.length > maxBytes) {
        settle('too-large');
        return;
      }
      const { heldBytes } = body;
      // The parser of `node:http` hands over a copy of each part, which is not needed any more.
      if (body.append(part)) freeBlock(part);
      if (body.heldBytes > heldBytes) held?.grow(body.heldBytes - heldBytes);
    });
    held?.onEvict(() => settle('no-memory'));
    message.once('end', () => {
      held?.complete();
      settle(body.toBuffer());
    });
    message.once('close', () => settle('truncated'));
    message.once('error', () => settle('truncated'));
  });
}
