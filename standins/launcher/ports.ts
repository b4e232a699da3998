/** Port allocation for processes whose addresses must be known before they start. */
import { createServer } from 'node:net';

/** The range is below the ephemeral ports, so that a port is still free after a restart. */
const FIRST_PORT = 10_240;
const LAST_PORT = 32_000;
const MAX_ATTEMPTS = 100;

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds ports of an address on which no process listens. */
export async function findFreePorts(host: string, count: number): Promise<number[]> {
  const found: number[] = [];
  for (let attempts = 0; found.length < count; attempts += 1) {
    if (attempts > MAX_ATTEMPTS) throw new Error(`no free port on ${host}`);
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!found.includes(port) && (await isFree(host, port))) found.push(port);
  }
  return found;
}
