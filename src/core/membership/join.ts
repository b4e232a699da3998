/** Joining by the seeds. */
import type { PeerAddress } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import { chooseRandom, toShuffled } from '../../utils/random.js';
import { formatHostPort } from '../../utils/address.js';
import { toAddress, type MembershipContext } from './context.js';
import type { PingExchange } from './exchange.js';
import type { RelayRanking } from './relays.js';
import { readAllSeeds, readSeeds } from './seeds.js';
import type { AntiEntropy } from './antiEntropy.js';

/** Delays between attempts to find another member. */
const JOIN_BOUNDS = { baseMs: 200, maxMs: 10_000 } as const;
/** Time between checks that some other member is known. */
const CHECK_MS = 5000;
/**
 * Time between a relay's looks for members elsewhere that it does not know or reach. The first
 * looks come soon, since data centres that start together may have joined without each other.
 */
const DISCOVERY_BOUNDS = { baseMs: 1500, maxMs: 60_000 } as const;
/** Looks that a node skips while it knows nobody and counts itself a relay for that reason. */
const SKIPPED_LOOKS = 3;
/** A node that has joined compares tables again after one to two times this long. */
const SECOND_LOOK_MS = 1500;
/** A joining node allows a busy seed more time than a ping of the failure detector. */
const JOIN_TIMEOUT_MS = 1000;

/** Finds other members through seeds. */
export interface Joiner {
  /** Tries seeds until one of the own data centre answers, those of the settings first. */
  runOnce(): Promise<boolean>;
  run(): Promise<void>;
}

/** Creates the joining task; `onJoined` is called when a full table has arrived. */
export function createJoiner(
  context: MembershipContext,
  exchange: PingExchange,
  antiEntropy: AntiEntropy,
  ranking: RelayRanking,
  onJoined: () => void,
): Joiner {
  const { settings, table, logger, random, signal } = context;

  const isSelf = ({ host, port }: PeerAddress) =>
    host === context.getSelf().host && port === context.getSelf().peerPort;

  const isAlone = () => table.listPresent(settings.dataCentre).length < 2;

  /** Pings a seed; returns its data centre, or undefined without an answer. */
  const pingSeed = async (address: PeerAddress): Promise<string | undefined> => {
    const first = [{ record: context.getSelf(), verdict: 'alive' as const }];
    const options = { first, timeoutMs: JOIN_TIMEOUT_MS, isOwn: false };
    const answer = await exchange.ping(address, options);
    return answer.isOk() ? answer.value.from.dataCentre : undefined;
  };

  /** Compares tables with a seed that answered. */
  const contact = async (address: PeerAddress): Promise<boolean> => {
    // The seeds have these records already, so they are not gossiped again.
    const result = await antiEntropy.runComparison(address, false);
    if (result.isErr()) return false;
    onJoined();
    return true;
  };

  /**
   * Contacts addresses in random order until one of a data centre that is enough gives its table.
   * Tables of others are asked for only without it: each is 184 KB at 540 members.
   */
  const contactAny = async (
    addresses: readonly PeerAddress[],
    isEnough: (dataCentre: string) => boolean,
  ): Promise<boolean> => {
    const others: PeerAddress[] = [];
    for (const address of toShuffled(addresses, random)) {
      if (signal.aborted) return false;
      const dataCentre = isSelf(address) ? undefined : await pingSeed(address);
      if (dataCentre === undefined) continue;
      if (!isEnough(dataCentre)) others.push(address);
      else if (await contact(address)) return true;
    }
    for (const address of others) {
      if (signal.aborted || (await contact(address))) return false;
    }
    return false;
  };

  const runOnce = async () => {
    // A seed elsewhere gives the table, but the own data centre has to hear of this node too.
    const isOwn = (dataCentre: string) => dataCentre === settings.dataCentre;
    return (await contactAny(settings.seeds, isOwn)) || contactAny(await readSeeds(context), isOwn);
  };

  /** Compares tables once more: a seed that started at the same time knew nobody at first. */
  const runSecondLook = async () => {
    await waitMs(SECOND_LOOK_MS * (1 + random()), signal);
    const others = table
      .listPresent(settings.dataCentre)
      .filter(({ record }) => record.nodeId !== settings.nodeId);
    const [member] = chooseRandom(others, 1, random);
    if (member && !signal.aborted) {
      await antiEntropy.runComparison(toAddress(member.record), false);
    }
  };

  const runJoin = async () => {
    let attempt = 0;
    while (!signal.aborted) {
      if (isAlone()) {
        if (await runOnce()) await runSecondLook();
        await waitMs(computeDelayMs(JOIN_BOUNDS, attempt, random), signal);
        attempt += 1;
      } else {
        attempt = 0;
        await waitMs(CHECK_MS, signal);
      }
    }
  };

  /** Seeds of the settings and of all data centres whose members are not in the table. */
  const listUnknownSeeds = async (): Promise<PeerAddress[]> => {
    const toKey = ({ host, port }: PeerAddress) => formatHostPort(host, port);
    const known = new Set(table.listPresent().map(({ record }) => toKey(toAddress(record))));
    const seeds = [...settings.seeds, ...(await readAllSeeds(context))];
    const unknown = new Map(seeds.map((address) => [toKey(address), address]));
    for (const key of known) unknown.delete(key);
    return [...unknown.values()];
  };

  /**
   * Relays look for other data centres. Joining ends with the first seed of the own data centre
   * that answers, so it may have tried none elsewhere.
   */
  const runDiscovery = async () => {
    for (let look = 0; !signal.aborted; look += 1) {
      await waitMs(computeDelayMs(DISCOVERY_BOUNDS, look, random), signal);
      if (signal.aborted || !context.isRelay()) continue;
      if (isAlone() && look < SKIPPED_LOOKS) continue;
      const unknown = await listUnknownSeeds();
      if (unknown.length > 0 && (await contactAny(unknown, () => true))) {
        logger.info('members-discovered', { dataCentres: ranking.listDataCentres().length });
      }
    }
  };

  return {
    runOnce,
    run: async () => {
      await Promise.all([runJoin(), runDiscovery()]);
    },
  };
}
