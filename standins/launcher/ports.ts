/** Ports for processes whose address others must know before they start. */
import { createServer } from 'node:net';

/** Below the ports that the system gives to outgoing connections, so a restart finds it free. */
const FIRST_PORT = 10_240;
const LAST_PORT = 32_000;
const MAX_TRIES = 100;

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds ports of an address that nothing listens on. */
export async function findFreePorts(host: string, count: number): Promise<number[]> {
  const found: number[] = [];
  for (let tries = 0; found.length < count; tries += 1) {
    if (tries > MAX_TRIES) throw new Error(`no free port on ${host}`);
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!found.includes(port) && (await isFree(host, port))) found.push(port);
  }
  return found;
}
