/** Reading of response bodies with a size limit. */
import type { Readable } from 'node:stream';
import { buildError } from '../../errors.js';

/** Reads a body as text; above the limit it destroys the body and throws a `too-large` error. */
export async function readLimitedText(body: Readable, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      body.destroy();
      throw buildError('too-large', 'http.read', 'self', `response exceeds ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
