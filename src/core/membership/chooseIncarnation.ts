/** Choice of the incarnation of a process that starts. */
import type { MembersLookupAnswer } from '../../generated/types.js';
import type { PeerAddress } from '../../types/interfaces.js';
import { waitMs } from '../../utils/backoff.js';
import type { MembershipContext } from './context.js';
import { createIncarnation, getStartMs } from './incarnation.js';
import { readSeeds } from './seeds.js';

/** Time for seeds to answer; a start waits for it only while one is silent. */
const LOOKUP_TIMEOUT_MS = 500;
/** Time for the platform to name seeds when those of the settings know nothing. */
const READ_LIMIT_MS = 1000;

type LookupParts = Pick<MembershipContext, 'settings' | 'platform' | 'peers' | 'logger'>;

async function requestStarts(
  { settings, peers }: LookupParts,
  addresses: readonly PeerAddress[],
): Promise<number[]> {
  const { nodeId, host, peerPort } = settings;
  const others = addresses.filter((one) => one.host !== host || one.port !== peerPort);
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
 * Creates an incarnation above all that seeds know of this node. With the time alone, a host whose
 * clock is behind that of the process it replaces would be refused as an earlier process.
 */
export async function chooseIncarnation(parts: LookupParts): Promise<string> {
  const { settings, logger } = parts;
  let starts = await requestStarts(parts, settings.seeds);
  if (starts.length === 0) {
    const seeds = await Promise.race([readSeeds(parts), waitMs(READ_LIMIT_MS)]);
    starts = await requestStarts(parts, seeds ?? []);
  }
  const nowMs = Date.now();
  const latestMs = Math.max(0, ...starts);
  if (latestMs < nowMs) return createIncarnation(nowMs);
  const { nodeId: peer } = settings;
  logger.warn('clock-behind', { step: 'members.lookup', peer, behindMs: latestMs - nowMs });
  return createIncarnation(latestMs + 1);
}
