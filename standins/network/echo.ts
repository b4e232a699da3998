/** Program for the network tests: a server and a client that is controlled over IPC. */
import { createServer } from 'node:http';
import { Agent, request } from 'undici';
import { openServer, readBody } from '../http.js';

const host = process.argv[2] ?? '127.0.0.1';
const TIMEOUT_MS = 60_000;
const MAX_BODY_BYTES = 8_000_000;

const agent = new Agent({ connect: { timeout: TIMEOUT_MS }, headersTimeout: TIMEOUT_MS });
const server = createServer({ keepAliveTimeout: TIMEOUT_MS }, (incoming, response) => {
  void readBody(incoming, MAX_BODY_BYTES).then((body) => {
    response.end(`${incoming.socket.remoteAddress} ${body?.length}`);
    // Exits at once, as a daemon does after its last response.
    // eslint-disable-next-line n/no-process-exit
    if (incoming.url === '/exit') response.once('finish', () => process.exit(0));
  });
});

process.on('message', (message: { url?: string; body?: string; times?: number }) => {
  if (message.url === undefined) return;
  const { url, body, times = 1 } = message;
  const run = async () => {
    const startedMs = performance.now();
    let text = '';
    for (let done = 0; done < times; done += 1) {
      const answer = await request(url, { dispatcher: agent, method: 'POST', body });
      text = await answer.body.text();
    }
    return { text, meanMs: (performance.now() - startedMs) / times };
  };
  run().then(
    (result) => process.send?.({ kind: 'result', ...result }),
    (error: Error) => process.send?.({ kind: 'result', error: error.message }),
  );
});
const port = await openServer(server, host, 0);
process.send?.({ kind: 'listening', port });
