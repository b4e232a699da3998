/** Failure detection inside the data centre (SWIM). */
import type { MemberChange, PingIndirectAnswer } from '../../generated/types.js';
import { waitMs } from '../../utils/backoff.js';
import { waitRest } from '../../utils/waitRest.js';
import { chooseRandom, toShuffled } from '../../utils/random.js';
import { getSender, toAddress, type MembershipContext } from './context.js';
import type { PingExchange } from './exchange.js';
import { isPresent } from './merge.js';
import type { ChangeReceiver } from './receive.js';
import { toChange, type Entry } from './table.js';

/** Members asked to ping on behalf of this node. */
const INDIRECT_PINGS = 3;
/** One round in this many also pings a dead member, to find out that a partition healed. */
const DEAD_PING_ROUNDS = 4;

/** Tasks of the failure detector. */
export interface Detector {
  /** Pings the next member of the shuffled round and acts on the result. */
  runRound(): Promise<void>;
  /** Declares members dead that stayed suspect, and removes old tombstones. */
  runExpiry(): void;
  run(): Promise<void>;
}

/** Creates the failure detector of the own data centre (SWIM with refutation). */
export function createDetector(
  context: MembershipContext,
  exchange: PingExchange,
  receiver: ChangeReceiver,
): Detector {
  const { settings, table, peers, logger, random, signal } = context;
  const { pingIntervalMs, pingTimeoutMs, suspectMs, tombstoneMs } = settings.membership;
  let round: string[] = [];
  let rounds = 0;
  let lastExpiryMs = Date.now();

  const listOthers = () =>
    table
      .listPresent(settings.dataCentre)
      .filter(({ record }) => record.nodeId !== settings.nodeId);

  const takeTarget = (): Entry | undefined => {
    for (;;) {
      const nodeId = round.pop();
      if (nodeId === undefined) {
        round = toShuffled(
          listOthers().map(({ record }) => record.nodeId),
          random,
        );
        if (round.length === 0) return undefined;
        continue;
      }
      const entry = table.get(nodeId);
      if (entry && isPresent(entry)) return entry;
    }
  };

  /** A member with a bad verdict is told of it, so that it refutes. */
  const pingMember = (entry: Entry) => {
    const first: MemberChange[] = entry.verdict === 'alive' ? [] : [toChange(entry)];
    const targetId = entry.record.nodeId;
    return exchange.ping(toAddress(entry.record), { targetId, first });
  };

  const pingIndirectly = async ({ record }: Entry): Promise<boolean> => {
    const helpers = chooseRandom(
      listOthers().filter((entry) => entry.record.nodeId !== record.nodeId),
      INDIRECT_PINGS,
      random,
    );
    const params = { from: getSender(context), target: toAddress(record), targetId: record.nodeId };
    const answers = await Promise.all(
      helpers.map((helper) =>
        peers.request<PingIndirectAnswer>(
          toAddress(helper.record),
          'pingIndirect',
          params,
          2 * pingTimeoutMs,
        ),
      ),
    );
    return answers.some((answer) => answer.isOk() && answer.value.reached);
  };

  const suspectMember = ({ record }: Entry, reason: string) => {
    const current = table.get(record.nodeId);
    // A newer record arrived while the pings ran: the member is alive.
    if (!current || current.record !== record || current.verdict !== 'alive') return;
    logger.info('member-suspected', { step: 'members.ping', peer: record.nodeId, reason });
    receiver.applyOwn({ record, verdict: 'suspect' });
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
    rounds += 1;
    if (rounds % DEAD_PING_ROUNDS === 0) pingDeadMember();
    const target = takeTarget();
    if (!target) return;
    const startedMs = Date.now();
    const answer = await pingMember(target);
    if (answer.isOk()) return;
    if (await pingIndirectly(target)) return;
    // A process that was stopped sees all its time-outs pass at once; they prove nothing.
    const isLate = Date.now() - startedMs > 4 * pingTimeoutMs + pingIntervalMs;
    if (isLate || signal.aborted) return;
    suspectMember(target, answer.error.message);
  };

  const runExpiry = () => {
    const nowMs = Date.now();
    // A clock that was set back counts as well: the times of suspicions would lie ahead.
    const wasStopped = Math.abs(nowMs - lastExpiryMs) > suspectMs / 2;
    lastExpiryMs = nowMs;
    for (const entry of table.listPresent(settings.dataCentre)) {
      if (entry.verdict !== 'suspect') continue;
      if (wasStopped) table.resetSince(entry.record.nodeId);
      else if (nowMs - entry.sinceMs >= suspectMs) {
        receiver.applyOwn({ record: entry.record, verdict: 'dead' });
      }
    }
    table.removeExpired(tombstoneMs);
  };

  const runRounds = async () => {
    // The first round starts at a random time, so that nodes started together spread out.
    await waitMs(random() * pingIntervalMs, signal);
    while (!signal.aborted) {
      const startedMs = Date.now();
      await runRound();
      await waitRest(pingIntervalMs, startedMs, signal);
    }
  };

  const runExpiries = async () => {
    while (!signal.aborted) {
      await waitMs(suspectMs / 10, signal);
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
