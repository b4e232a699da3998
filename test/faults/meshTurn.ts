/** Limits how many failure tests run a mesh at the same time, over all test processes. */
import { createServer, type Server } from 'node:net';
import type { TestContext } from 'node:test';
import { waitMs } from '../../src/utils/backoff.js';
import { computeDigest } from '../../src/utils/digest.js';

/** Test files run in parallel; all their meshes at once are some 80 processes. */
const TURNS = 5;
const POLL_MS = 100;
/** Each work tree has turns of its own, so that runs side by side do not wait for each other. */
const NAME = `\0lycheelane-faults-${computeDigest(import.meta.url).slice(0, 16)}`;

/** Listens on a name without a file, which the system frees when the process ends in any way. */
function openTurn(index: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(`${NAME}-${index}`, () => resolve(server));
  });
}

/** Waits until one of the turns is free and holds it until the test ends. */
export async function waitForTurn(t: TestContext): Promise<void> {
  for (let index = 0; ; index = (index + 1) % TURNS) {
    const server = await openTurn(index);
    if (server !== undefined) {
      t.after(() => server.close());
      return;
    }
    await waitMs(POLL_MS);
  }
}
