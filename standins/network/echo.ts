/** Program for the network tests: an echo server and a client, told over IPC what to request. */
import { createServer } from 'node:http';
import { Agent, request } from 'undici';
import { openServer, readBody } from '../http.js';

const host = process.argv[2] ?? '127.0.0.1';
const agent = new Agent({ connect: { timeout: 60_000 }, headersTimeout: 60_000 });
const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
  void readBody(incoming, 8_000_000).then((body) => {
    response.end(`${incoming.socket.remoteAddress} ${body?.length}`);
    // Leaves at once, as a daemon does after its last response.
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
