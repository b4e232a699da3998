/** Choice of the incarnation of a starting process. */
import type { MembersLookupAnswer } from '../../generated/types.js';
import type { PeerAddress } from '../../types/interfaces.js';
import { waitMs } from '../../utils/backoff.js';
import type { MembershipContext } from './context.js';
import { createIncarnation, getStartMs } from './incarnation.js';
import { readSeeds } from './seeds.js';

/** Time-out of a look-up at the seeds. */
const LOOKUP_TIMEOUT_MS = 500;
/** Time-out for reading seeds from the platform, used when no seed of the settings answers. */
const SEED_READ_TIMEOUT_MS = 1000;

type LookupContext = Pick<MembershipContext, 'settings' | 'platform' | 'peers' | 'logger'>;

async function requestStartTimes(
  { settings, peers }: LookupContext,
  addresses: readonly PeerAddress[],
): Promise<number[]> {
  const { nodeId, host, peerPort } = settings;
  const others = addresses.filter((address) => address.host !== host || address.port !== peerPort);
  const answers = await Promise.all(
    others.map((address) =>
      peers.request<MembersLookupAnswer>(address, 'members.lookup', { nodeId }, LOOKUP_TIMEOUT_MS),
    ),
  );
  return answers.flatMap((answer) =>
    answer.isOk() ? [answer.value.incarnation ? getStartMs(answer.value.incarnation) : 0] : [],
  );
}

/**
 * Creates an incarnation greater than those of this node that the seeds know. If it were created
 * from the local clock alone, a process whose clock is behind that of its predecessor would be
 * refused as an earlier incarnation.
 */
export async function chooseIncarnation(context: LookupContext): Promise<string> {
  const { settings, logger } = context;
  let startTimes = await requestStartTimes(context, settings.seeds);
  if (startTimes.length === 0) {
    const seeds = await Promise.race([readSeeds(context), waitMs(SEED_READ_TIMEOUT_MS)]);
    startTimes = await requestStartTimes(context, seeds ?? []);
  }
  const nowMs = Date.now();
  const latestStartMs = Math.max(0, ...startTimes);
  if (latestStartMs < nowMs) return createIncarnation(nowMs);
  const { nodeId: peer } = settings;
  logger.warn('clock-behind', { step: 'members.lookup', peer, behindMs: latestStartMs - nowMs });
  return createIncarnation(latestStartMs + 1);
}
