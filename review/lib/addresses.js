/** Loopback addresses for the hosts of a case, with ports that are free at its start. */
import { createServer } from 'node:net';

/** Ports below those that the operating system gives to outgoing connections. */
const PORTS = { min: 15_000, max: 31_000 };

const MAX_TRIES = 50;

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a port of a loopback address that nothing listens on and that is not in `taken`. */
export async function findFreePort(host, taken = []) {
  for (let index = 0; index < MAX_TRIES; index += 1) {
    const port = PORTS.min + Math.floor(Math.random() * (PORTS.max - PORTS.min));
    if (!taken.includes(port) && (await isFree(host, port))) return port;
  }
  throw new Error(`no free port at ${host}`);
}

/** Returns the loopback address of the host with a number from 1 to 200. */
export function getHostAddress(number) {
  return `127.0.60.${number}`;
}
