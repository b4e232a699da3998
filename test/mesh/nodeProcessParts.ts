/** Steps that tests of a real node process share. */
import assert from 'node:assert/strict';
import { sendHttp, wait } from '../../standins/mesh/meshFleet.js';

const HOST = '127.0.0.1';
const POLL_INTERVAL_MS = 30;
const MAX_POLLS = 500;

/** Waits until the readiness check of a node passes. */
export async function waitUntilReady(readyPort: number): Promise<void> {
  for (let tries = 0; tries < MAX_POLLS; tries += 1) {
    const response = await sendHttp(readyPort, { path: '/readyz', id: '' }).catch(() => undefined);
    if (response?.status === 200) return;
    await wait(POLL_INTERVAL_MS);
  }
  throw new Error('the node was not ready within 15 s');
}

/** Announces the instance `i-1` of the service `pads` to the node of its host. */
export async function announceInstance(
  announcementPort: number,
  instancePort: number,
  slots: number,
): Promise<void> {
  const body = JSON.stringify({
    Service: 'pads',
    Address: `${HOST}:${instancePort}`,
    Capacity: slots,
    State: 'ready',
    Sequence: 1,
    born: 1,
  });
  const request = { path: '/instances/i-1/heartbeat', id: '', method: 'POST', body };
  const { status } = await sendHttp(announcementPort, request);
  assert.equal(status, 200);
}
