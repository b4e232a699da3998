/** Search for the floor at start-up. */
import { ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { ConfigFloorAnswer, MemberChange } from '../../generated/types.js';
import type { PeerAddress, VersionTag } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import { toAddress } from '../membership/context.js';
import { isPresent, mergeChanges } from '../membership/merge.js';
import { getOwnSender, type DistributionContext } from './context.js';
import type { VersionSeeker } from './obtain.js';
import { toTag } from './verify.js';

/** Delays between rounds of asking peers and between reads of the platform. */
const PEER_BOUNDS = { baseMs: 200, maxMs: 2000 } as const;
const PLATFORM_BOUNDS = { baseMs: 500, maxMs: 10_000 } as const;
/** Peers are asked first; the first read of the platform waits up to this long. */
const PEERS_FIRST_MS = 2000;
/** Longest wait for a local upstream's announcement; these come every second. */
const HOST_WAIT_MS = 1500;
const FLOOR_TIMEOUT_MS = 1000;

/** An answer with the member that gave it. */
export interface FloorAnswer {
  readonly nodeId: string;
  readonly answer: ConfigFloorAnswer;
}

/**
 * Returns the floor if a majority of the data centre supports it: the members that the answers
 * together call alive are counted, this node excluded, and more than half of them must have
 * answered with an installed version.
 */
export function computeMajorityFloor(
  answers: readonly FloorAnswer[],
  dataCentre: string,
  selfId: string,
): VersionTag | undefined {
  const union = new Map<string, MemberChange>();
  for (const { answer } of answers) {
    for (const change of answer.members) {
      const { nodeId } = change.record;
      const known = union.get(nodeId);
      union.set(nodeId, known ? mergeChanges(known, change) : change);
    }
  }
  const counted = [...union.values()].filter(
    (change) =>
      change.verdict === 'alive' &&
      isPresent(change) &&
      change.record.dataCentre === dataCentre &&
      change.record.nodeId !== selfId,
  );
  const ids = new Set(counted.map((change) => change.record.nodeId));
  const votes = answers.filter(
    ({ nodeId, answer }) => ids.has(nodeId) && (answer.ready || answer.version > 0),
  );
  const voters = new Set(votes.map((vote) => vote.nodeId));
  if (voters.size === 0 || voters.size * 2 <= ids.size) return undefined;
  const tags = votes.map(({ answer }) => toTag(answer));
  return tags.reduce((best, tag) => (tag.version > best.version ? tag : best));
}

/** Answers `config.floor`. */
export function handleFloor(context: DistributionContext): Result<ConfigFloorAnswer, StepError> {
  const { store, members } = context;
  const { version, digest } = store.getTag();
  const own = [...members.listOwnChanges()];
  return ok({ version, digest, ready: store.isReady(), members: own });
}

/** Learns the floor at start-up from the platform or a majority of peers, whichever is first. */
export async function runFloorSearch(
  context: DistributionContext,
  seeker: VersionSeeker,
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
    const asked = targets.map(({ record }) => requestFloor(record.nodeId, toAddress(record)));
    const answers = (await Promise.all(asked)).flat();
    const floor = computeMajorityFloor(answers, settings.dataCentre, settings.nodeId);
    if (!floor || isDone()) return;
    logger.info('floor-from-peers', { version: floor.version, answers: answers.length });
    store.confirmFloor(floor, 'peers');
    for (const { nodeId, answer } of answers) {
      if (answer.version === floor.version) seeker.recordHeard(floor, nodeId);
    }
  };

  const runPeers = async () => {
    await Promise.race([members.joined, waitMs(PEERS_FIRST_MS, signal)]);
    // Peers may be behind what this host enforced; its upstream's cookie tells that version.
    if (context.hostHeard) await Promise.race([context.hostHeard, waitMs(HOST_WAIT_MS, signal)]);
    for (let attempt = 0; !isDone(); attempt += 1) {
      await requestFloors();
      if (!isDone()) await waitMs(computeDelayMs(PEER_BOUNDS, attempt, random), signal);
    }
  };

  const runPlatform = async () => {
    if (settings.seeds.length > 0) await waitMs(random() * PEERS_FIRST_MS, signal);
    for (let attempt = 0; !isDone(); attempt += 1) {
      if (await seeker.readAccepted()) return;
      await waitMs(computeDelayMs(PLATFORM_BOUNDS, attempt, random), signal);
    }
  };

  if (settings.distribution.mode === 'direct') return;
  await Promise.all([runPeers(), runPlatform()]);
}
