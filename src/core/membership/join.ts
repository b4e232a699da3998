/** Joining the mesh through seeds. */
import type { PeerAddress } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import { chooseRandom, toShuffled } from '../../utils/random.js';
import { formatHostPort } from '../../utils/address.js';
import { toAddress, type MembershipContext } from './context.js';
import type { PingExchange } from './exchange.js';
import type { RelayRanking } from './relays.js';
import { readAllSeeds, readSeeds } from './seeds.js';
import type { AntiEntropy } from './antiEntropy.js';

/** Backoff between join attempts. */
const JOIN_BOUNDS = { baseMs: 200, maxMs: 10_000 } as const;
/** Interval of the checks that the table has another member of the local data centre. */
const MEMBER_CHECK_INTERVAL_MS = 5000;
/**
 * Backoff between a relay's attempts to discover unknown members. The first attempts follow
 * quickly, since data centres that start together may have joined separately.
 */
const DISCOVERY_BOUNDS = { baseMs: 1500, maxMs: 60_000 } as const;
/** Initial attempts that a node skips while it is a relay only because it knows no other member. */
const SKIPPED_DISCOVERIES = 3;
/** Minimum delay of the second table comparison after joining; the maximum is twice as long. */
const SECOND_COMPARISON_DELAY_MS = 1500;
/** Time-out of a ping to a seed: longer than that of the failure detector, for busy seeds. */
const JOIN_PING_TIMEOUT_MS = 1000;

/** Discovers other members through seeds. */
export interface Joiner {
  /**
   * Tries the seeds of the settings, then those of the platform, until one of the local data centre
   * has exchanged tables. Returns whether one has.
   */
  runOnce(): Promise<boolean>;
  run(): Promise<void>;
}

/** Creates the joining task; `onJoined` is called when a seed has sent its table. */
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

  const isOnlyMember = () => table.listPresent(settings.dataCentre).length < 2;

  /** Pings a seed and returns its data centre, or undefined if it does not answer. */
  const pingSeed = async (address: PeerAddress): Promise<string | undefined> => {
    const explicitChanges = [{ record: context.getSelf(), verdict: 'alive' as const }];
    const options = {
      explicitChanges,
      timeoutMs: JOIN_PING_TIMEOUT_MS,
      shouldPiggyback: false,
    };
    const answer = await exchange.ping(address, options);
    return answer.isOk() ? answer.value.from.dataCentre : undefined;
  };

  /** Compares tables with a seed that answered the ping. */
  const compareWithSeed = async (address: PeerAddress): Promise<boolean> => {
    // The received records are not gossiped, because the other members already have them.
    const result = await antiEntropy.runComparison(address, false);
    if (result.isErr()) return false;
    onJoined();
    return true;
  };

  /**
   * Contacts seeds in random order until a table comparison with one of a preferred data centre
   * succeeds, and returns whether one did. Otherwise compares tables with one of the other seeds;
   * these are the fallback because each table is 184 KB at 540 members.
   */
  const contactSeeds = async (
    addresses: readonly PeerAddress[],
    isPreferred: (dataCentre: string) => boolean,
  ): Promise<boolean> => {
    const fallbacks: PeerAddress[] = [];
    for (const address of toShuffled(addresses, random)) {
      if (signal.aborted) return false;
      const dataCentre = isSelf(address) ? undefined : await pingSeed(address);
      if (dataCentre === undefined) continue;
      if (!isPreferred(dataCentre)) fallbacks.push(address);
      else if (await compareWithSeed(address)) return true;
    }
    for (const address of fallbacks) {
      if (signal.aborted || (await compareWithSeed(address))) return false;
    }
    return false;
  };

  const runOnce = async () => {
    // A table from another data centre is not enough: the local members must learn of this node.
    const isLocal = (dataCentre: string) => dataCentre === settings.dataCentre;
    return (
      (await contactSeeds(settings.seeds, isLocal)) ||
      contactSeeds(await readSeeds(context), isLocal)
    );
  };

  /** Repeats the comparison, since a seed that started at the same time had no other members. */
  const runSecondComparison = async () => {
    await waitMs(SECOND_COMPARISON_DELAY_MS * (1 + random()), signal);
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
      if (isOnlyMember()) {
        if (await runOnce()) await runSecondComparison();
        await waitMs(computeDelayMs(JOIN_BOUNDS, attempt, random), signal);
        attempt += 1;
      } else {
        attempt = 0;
        await waitMs(MEMBER_CHECK_INTERVAL_MS, signal);
      }
    }
  };

  /** Lists the seeds of the settings and of all data centres that are not in the member table. */
  const listUnknownSeeds = async (): Promise<PeerAddress[]> => {
    const toKey = ({ host, port }: PeerAddress) => formatHostPort(host, port);
    const known = new Set(table.listPresent().map(({ record }) => toKey(toAddress(record))));
    const seeds = [...settings.seeds, ...(await readAllSeeds(context))];
    const unknown = new Map(seeds.map((address) => [toKey(address), address]));
    for (const key of known) unknown.delete(key);
    return [...unknown.values()];
  };

  /**
   * Discovers other data centres if this node is a relay. Joining ends with the first seed of the
   * local data centre that answers, possibly before a seed of another one was tried.
   */
  const runDiscovery = async () => {
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      await waitMs(computeDelayMs(DISCOVERY_BOUNDS, attempt, random), signal);
      if (signal.aborted || !context.isRelay()) continue;
      if (isOnlyMember() && attempt < SKIPPED_DISCOVERIES) continue;
      const unknown = await listUnknownSeeds();
      if (unknown.length > 0 && (await contactSeeds(unknown, () => true))) {
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
