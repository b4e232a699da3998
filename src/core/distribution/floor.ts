/** Determination of the version floor at start-up. */
import { ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { ConfigFloorAnswer, MemberChange } from '../../generated/types.js';
import type { PeerAddress, VersionTag } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import { toAddress } from '../membership/context.js';
import { isPresent, mergeChanges } from '../membership/merge.js';
import { getOwnSender, type DistributionContext } from './context.js';
import type { VersionFetcher } from './versionFetcher.js';
import { toTag } from './verify.js';

/** Delays between rounds of requests to peers, and between reads of the platform. */
const PEER_BOUNDS = { baseMs: 200, maxMs: 2000 } as const;
const PLATFORM_BOUNDS = { baseMs: 500, maxMs: 10_000 } as const;
/** Maximum delay of the first read of the platform, because peers are queried first. */
const PEERS_FIRST_MS = 2000;
/** Maximum wait for the announcement of a local upstream, which is repeated every second. */
const ANNOUNCEMENT_WAIT_MS = 1500;
const FLOOR_TIMEOUT_MS = 1000;

/** A floor answer and the member that sent it. */
export interface FloorAnswer {
  readonly nodeId: string;
  readonly answer: ConfigFloorAnswer;
}

/**
 * Returns the highest version of the answers if a majority of the data centre has answered. The
 * members that the merged answers report as alive are counted, except this node; more than half of
 * them must have answered and be ready or have an installed version.
 */
export function computeMajorityFloor(
  answers: readonly FloorAnswer[],
  dataCentre: string,
  selfId: string,
): VersionTag | undefined {
  const changesByNode = new Map<string, MemberChange>();
  for (const { answer } of answers) {
    for (const change of answer.members) {
      const { nodeId } = change.record;
      const known = changesByNode.get(nodeId);
      changesByNode.set(nodeId, known ? mergeChanges(known, change) : change);
    }
  }
  const countedMembers = [...changesByNode.values()].filter(
    (change) =>
      change.verdict === 'alive' &&
      isPresent(change) &&
      change.record.dataCentre === dataCentre &&
      change.record.nodeId !== selfId,
  );
  const countedIds = new Set(countedMembers.map((change) => change.record.nodeId));
  const votes = answers.filter(
    ({ nodeId, answer }) => countedIds.has(nodeId) && (answer.ready || answer.version > 0),
  );
  const voters = new Set(votes.map((vote) => vote.nodeId));
  if (voters.size === 0 || voters.size * 2 <= countedIds.size) return undefined;
  const tags = votes.map(({ answer }) => toTag(answer));
  return tags.reduce((highest, tag) => (tag.version > highest.version ? tag : highest));
}

/** Handles `config.floor`. */
export function handleFloor(context: DistributionContext): Result<ConfigFloorAnswer, StepError> {
  const { store, members } = context;
  const { version, digest } = store.getTag();
  const ownChanges = [...members.listOwnChanges()];
  return ok({ version, digest, ready: store.isReady(), members: ownChanges });
}

/** Determines the floor from the platform or a majority of peers, whichever responds first. */
export async function runFloorSearch(
  context: DistributionContext,
  fetcher: VersionFetcher,
): Promise<void> {
  const { settings, logger, peers, members, store, random, signal } = context;
  const isDone = () => store.isFloorKnown() || signal.aborted;

  const requestFloor = async (nodeId: string, address: PeerAddress): Promise<FloorAnswer[]> => {
    const params = { from: getOwnSender(context) };
    const answer = await peers.request<ConfigFloorAnswer>(
      address,
      'config.floor',
      params,
      FLOOR_TIMEOUT_MS,
    );
    return answer.isOk() ? [{ nodeId, answer: answer.value }] : [];
  };

  const requestFloors = async () => {
    const targets = members
      .listMembers()
      .filter(
        (member) =>
          isPresent(member) &&
          member.record.dataCentre === settings.dataCentre &&
          member.record.nodeId !== settings.nodeId,
      );
    const requests = targets.map(({ record }) => requestFloor(record.nodeId, toAddress(record)));
    const answers = (await Promise.all(requests)).flat();
    const floor = computeMajorityFloor(answers, settings.dataCentre, settings.nodeId);
    if (!floor || isDone()) return;
    logger.info('floor-from-peers', { version: floor.version, answers: answers.length });
    store.confirmFloor(floor, 'peers');
    for (const { nodeId, answer } of answers) {
      if (answer.version === floor.version) fetcher.recordVersion(floor, nodeId);
    }
  };

  const searchPeers = async () => {
    await Promise.race([members.joined, waitMs(PEERS_FIRST_MS, signal)]);
    // Peers may have an older version than this host enforced before the restart. The cookie of
    // its upstream contains that version.
    const { upstreamAnnounced } = context;
    if (upstreamAnnounced) {
      await Promise.race([upstreamAnnounced, waitMs(ANNOUNCEMENT_WAIT_MS, signal)]);
    }
    for (let attempt = 0; !isDone(); attempt += 1) {
      await requestFloors();
      if (!isDone()) await waitMs(computeDelayMs(PEER_BOUNDS, attempt, random), signal);
    }
  };

  const searchPlatform = async () => {
    if (settings.seeds.length > 0) await waitMs(random() * PEERS_FIRST_MS, signal);
    for (let attempt = 0; !isDone(); attempt += 1) {
      if (await fetcher.readAccepted()) return;
      await waitMs(computeDelayMs(PLATFORM_BOUNDS, attempt, random), signal);
    }
  };

  if (settings.distribution.mode === 'direct') return;
  await Promise.all([searchPeers(), searchPlatform()]);
}
