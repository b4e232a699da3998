/** Start of a node that refuses the accepted version. */
import { waitMs } from '../../utils/backoff.js';
import type { DistributionContext } from './context.js';

/** Pings are sent every second, so several members report their versions within this time. */
const MEMBER_VERSIONS_WAIT_MS = 4000;

/**
 * Allows the node to start below a floor that it refuses, after members have had time to report
 * that they enforce it. Otherwise a version that no node accepts would prevent every restarted node
 * from serving until operators accept a corrected version.
 */
export async function runRefusedStart(context: DistributionContext): Promise<void> {
  const { members, store, signal } = context;
  await Promise.race([members.joined, waitMs(MEMBER_VERSIONS_WAIT_MS, signal)]);
  await waitMs(MEMBER_VERSIONS_WAIT_MS, signal);
  if (!signal.aborted) store.allowStartBelowRefused();
}
