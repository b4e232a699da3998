/** Start of a node that refuses the accepted version. */
import { waitMs } from '../../utils/backoff.js';
import type { DistributionContext } from './context.js';

/** Pings go out each second, so within this time several members have told what they enforce. */
const HEAR_MS = 4000;

/**
 * Lets the node start below a floor that it refuses, after members had time to tell that they
 * enforce it. Without this a version that no node accepts would keep every restarted node from
 * serving until operators accept a corrected one.
 */
export async function runRefusedStart(context: DistributionContext): Promise<void> {
  const { members, store, signal } = context;
  await Promise.race([members.joined, waitMs(HEAR_MS, signal)]);
  await waitMs(HEAR_MS, signal);
  if (!signal.aborted) store.allowStartBelowRefused();
}
