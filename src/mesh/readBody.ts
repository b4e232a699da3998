/** Reads the whole body of a request. */
import type { IncomingMessage } from 'node:http';

const EMPTY = Buffer.alloc(0);

/** Why a body could not be read. */
export type BodyFault = 'too-large' | 'cut-short';

/** Reads a body up to a limit in bytes. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | BodyFault> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve('too-large');
      else chunks.push(chunk);
    });
    message.once('end', () => {
      if (chunks.length === 0) resolve(EMPTY);
      else resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
    });
    message.once('close', () => resolve('cut-short'));
    message.once('error', () => resolve('cut-short'));
  });
}
