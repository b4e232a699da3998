import type { IncomingMessage } from 'node:http';

const EMPTY_BODY = Buffer.alloc(0);

/** Reason why a body could not be read. */
export type BodyError = 'too-large' | 'truncated';

/** Reads the complete body of a request of at most `maxBytes`. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | BodyError> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve('too-large');
      else chunks.push(chunk);
    });
    message.once('end', () => {
      if (chunks.length === 0) resolve(EMPTY_BODY);
      else resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
    });
    message.once('close', () => resolve('truncated'));
    message.once('error', () => resolve('truncated'));
  });
}
