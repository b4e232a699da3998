/** Holds calls that arrive at a starting node until it has a configuration. */
import type { ConfigStore } from '../../types/interfaces.js';
import { waitMs } from '../../utils/backoff.js';

/** Time between checks; one timer serves all held calls. */
const CHECK_MS = 20;

/**
 * Waits until the node is ready, `endMs` (on the `performance.now` scale) passes, or
 * `isAbandoned` is true.
 */
export type ReadyWait = (endMs: number, isAbandoned: () => boolean) => Promise<void>;

/** Creates the wait of one node. */
export function createReadyWait(config: Pick<ConfigStore, 'isReady'>): ReadyWait {
  let check: Promise<void> | undefined;
  const waitForCheck = () => {
    check ??= waitMs(CHECK_MS).then(() => {
      check = undefined;
    });
    return check;
  };
  return async (endMs, isAbandoned) => {
    while (!config.isReady() && !isAbandoned() && performance.now() < endMs) await waitForCheck();
  };
}
