/** SWIM failure detector for the members of the local data centre. */
import type { MemberChange, PingIndirectAnswer } from '../../generated/types.js';
import { waitMs } from '../../utils/backoff.js';
import { waitRemaining } from '../../utils/waitRemaining.js';
import { chooseRandom, toShuffled } from '../../utils/random.js';
import { getSender, toAddress, type MembershipContext } from './context.js';
import type { PingExchange } from './exchange.js';
import { isPresent } from './merge.js';
import type { ChangeReceiver } from './receive.js';
import { toChange, type Entry } from './table.js';

/** Number of members that are asked for an indirect ping. */
const INDIRECT_PING_COUNT = 3;
/** Time-out of an indirect ping, in ping time-outs: it consists of two requests. */
const INDIRECT_PING_TIMEOUTS = 2;
/** Every n-th round also pings a dead member, to detect that a partition has healed. */
const ROUNDS_PER_DEAD_PING = 4;
/** A round longer than one interval plus this many ping time-outs means a paused process. */
const PAUSED_ROUND_TIMEOUTS = 4;
/** Checks for expired suspicions per suspicion time-out. */
const EXPIRY_CHECKS_PER_SUSPICION = 10;
/** A gap between two such checks above 1/n of the suspicion time-out means a paused process. */
const PAUSED_GAP_DIVISOR = 2;

/** Failure detector. `run` runs its periodic tasks until the membership stops. */
export interface Detector {
  /** Pings the next member in shuffled order, also indirectly, and suspects it without an ack. */
  runRound(): Promise<void>;
  /** Declares members dead whose suspicion timed out, and removes expired tombstones. */
  runExpiry(): void;
  run(): Promise<void>;
}

/** Creates the failure detector of the local data centre (SWIM with refutation). */
export function createDetector(
  context: MembershipContext,
  exchange: PingExchange,
  receiver: ChangeReceiver,
): Detector {
  const { settings, table, peers, logger, random, signal } = context;
  const { pingIntervalMs, pingTimeoutMs, suspectMs, tombstoneMs } = settings.membership;
  let remainingIds: string[] = [];
  let roundCount = 0;
  let lastExpiryMs = Date.now();

  const listOthers = () =>
    table
      .listPresent(settings.dataCentre)
      .filter(({ record }) => record.nodeId !== settings.nodeId);

  const popTarget = (): Entry | undefined => {
    for (;;) {
      const nodeId = remainingIds.pop();
      if (nodeId === undefined) {
        remainingIds = toShuffled(
          listOthers().map(({ record }) => record.nodeId),
          random,
        );
        if (remainingIds.length === 0) return undefined;
        continue;
      }
      const entry = table.get(nodeId);
      if (entry && isPresent(entry)) return entry;
    }
  };

  /** Sends a suspect or dead member its verdict along with the ping, so that it can refute it. */
  const pingMember = (entry: Entry) => {
    const explicitChanges: MemberChange[] = entry.verdict === 'alive' ? [] : [toChange(entry)];
    const targetId = entry.record.nodeId;
    return exchange.ping(toAddress(entry.record), { targetId, explicitChanges });
  };

  const pingIndirectly = async ({ record }: Entry): Promise<boolean> => {
    const helpers = chooseRandom(
      listOthers().filter((entry) => entry.record.nodeId !== record.nodeId),
      INDIRECT_PING_COUNT,
      random,
    );
    const params = { from: getSender(context), target: toAddress(record), targetId: record.nodeId };
    const answers = await Promise.all(
      helpers.map((helper) =>
        peers.request<PingIndirectAnswer>(
          toAddress(helper.record),
          'pingIndirect',
          params,
          INDIRECT_PING_TIMEOUTS * pingTimeoutMs,
        ),
      ),
    );
    return answers.some((answer) => answer.isOk() && answer.value.reached);
  };

  const suspectMember = ({ record }: Entry, reason: string) => {
    const current = table.get(record.nodeId);
    // Skips the suspicion if the record or verdict changed while the pings were running.
    if (!current || current.record !== record || current.verdict !== 'alive') return;
    logger.info('member-suspected', { step: 'members.ping', peer: record.nodeId, reason });
    receiver.applyLocal({ record, verdict: 'suspect' });
  };

  const pingDeadMember = () => {
    const dead = table
      .list()
      .filter(
        ({ record, verdict }) =>
          record.dataCentre === settings.dataCentre &&
          verdict === 'dead' &&
          record.state !== 'left',
      );
    const [target] = chooseRandom(dead, 1, random);
    if (target) void pingMember(target);
  };

  const runRound = async () => {
    roundCount += 1;
    if (roundCount % ROUNDS_PER_DEAD_PING === 0) pingDeadMember();
    const target = popTarget();
    if (!target) return;
    const startedMs = Date.now();
    const answer = await pingMember(target);
    if (answer.isOk()) return;
    if (await pingIndirectly(target)) return;
    // After a pause of this process all time-outs expire at once, whether or not the peer answered.
    const maxRoundMs = PAUSED_ROUND_TIMEOUTS * pingTimeoutMs + pingIntervalMs;
    const wasPaused = Date.now() - startedMs > maxRoundMs;
    if (wasPaused || signal.aborted) return;
    suspectMember(target, answer.error.message);
  };

  const runExpiry = () => {
    const nowMs = Date.now();
    // The absolute value also covers a clock set back, after which `sinceMs` lies in the future.
    const wasPaused = Math.abs(nowMs - lastExpiryMs) > suspectMs / PAUSED_GAP_DIVISOR;
    lastExpiryMs = nowMs;
    for (const entry of table.listPresent(settings.dataCentre)) {
      if (entry.verdict !== 'suspect') continue;
      if (wasPaused) table.resetVerdictTime(entry.record.nodeId);
      else if (nowMs - entry.sinceMs >= suspectMs) {
        receiver.applyLocal({ record: entry.record, verdict: 'dead' });
      }
    }
    table.removeExpired(tombstoneMs);
  };

  const runRounds = async () => {
    // A random initial delay keeps nodes that start together from pinging in step.
    await waitMs(random() * pingIntervalMs, signal);
    while (!signal.aborted) {
      const startedMs = Date.now();
      await runRound();
      await waitRemaining(pingIntervalMs, startedMs, signal);
    }
  };

  const runExpiries = async () => {
    while (!signal.aborted) {
      await waitMs(suspectMs / EXPIRY_CHECKS_PER_SUSPICION, signal);
      if (!signal.aborted) runExpiry();
    }
  };

  return {
    runRound,
    runExpiry,
    run: async () => {
      await Promise.all([runRounds(), runExpiries()]);
    },
  };
}
