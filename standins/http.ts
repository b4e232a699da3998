/** Small HTTP helpers that the stand-ins share. */
import type { IncomingMessage, OutgoingHttpHeaders, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Reads a request body; resolves with undefined when it is longer than `limitBytes`. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    // The rest is still read, so that the sender gets its answer instead of a reset connection.
    if (length <= limitBytes) chunks.push(chunk);
  }
  return length > limitBytes ? undefined : Buffer.concat(chunks);
}

/** Sends a JSON answer; nothing when the connection is already gone. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  if (response.destroyed || response.headersSent) return;
  const text = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': text.length,
    ...headers,
  });
  response.end(text);
}

/** Starts to listen and returns the port. */
export function openServer(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Closes a server together with its open connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
