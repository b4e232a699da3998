/** The seed list of a data centre in the platform. */
import type { SeedList } from '../../generated/types.js';
import { validateSeeds } from '../../generated/validators.js';
import type { PeerAddress, PlatformObject } from '../../types/interfaces.js';
import { waitMs } from '../../utils/backoff.js';
import { rankMembers } from '../../utils/rendezvous.js';
import { toAddress, type MembershipContext } from './context.js';
import type { RelayRanking } from './relays.js';

/** Addresses in one seed list. */
const MAX_SEEDS = 16;
/** Shortest time between two writes of the seed list. */
const WRITE_GAP_MS = 10_000;
/** First write of a relay that knows other members: other data centres may wait for the list. */
const FIRST_WRITE_MS = 2000;

function listAddresses(objects: readonly PlatformObject<unknown>[]): PeerAddress[] {
  return objects.flatMap(({ value }) =>
    validateSeeds(value) ? (value as SeedList).addresses : [],
  );
}

/** Reads the seed list of the own data centre; empty when absent or the platform is down. */
export async function readSeeds(
  context: Pick<MembershipContext, 'settings' | 'platform'>,
): Promise<PeerAddress[]> {
  const name = `seeds/${context.settings.dataCentre}`;
  const object = await context.platform.read<unknown>(name);
  return object.isOk() && object.value ? listAddresses([object.value]) : [];
}

/** Reads the seed lists of all data centres. */
export async function readAllSeeds(context: MembershipContext): Promise<PeerAddress[]> {
  const objects = await context.platform.list<unknown>('seeds');
  return objects.isOk() ? listAddresses(objects.value) : [];
}

/** Keeps the seed list of the own data centre current. */
export interface SeedWriter {
  /** Writes the list if this node is the first relay and the content changed. */
  runOnce(): Promise<void>;
  run(): Promise<void>;
}

/** Creates the writer; only the relay with the best rank writes, conditionally. */
export function createSeedWriter(context: MembershipContext, ranking: RelayRanking): SeedWriter {
  const { settings, table, platform, logger, signal, random } = context;
  const name = `seeds/${settings.dataCentre}`;
  let written: { readonly text: string; readonly version: number } | undefined;

  const buildList = (): SeedList => {
    const serving = table
      .listPresent(settings.dataCentre)
      .filter(({ record, verdict }) => verdict === 'alive' && record.state !== 'leaving');
    const ranked = rankMembers('seeds', serving, ({ record }) => record.nodeId);
    const addresses = ranked.slice(0, MAX_SEEDS).map(({ record }) => toAddress(record));
    return { addresses };
  };

  const readCurrent = async (): Promise<boolean> => {
    const current = await platform.read<unknown>(name);
    if (current.isErr()) return false;
    const { value, version } = current.value ?? { value: undefined, version: 0 };
    written = { text: JSON.stringify(value), version };
    return true;
  };

  const runOnce = async () => {
    const isFirst = ranking.listRelays(settings.dataCentre)[0]?.record.nodeId === settings.nodeId;
    if (!isFirst) {
      written = undefined;
      return;
    }
    const list = buildList();
    const text = JSON.stringify(list);
    if (written?.text === text) return;
    if (!written && !(await readCurrent())) return;
    if (!written || written.text === text) return;
    const result =
      written.version === 0
        ? await platform.create(name, list)
        : await platform.update(name, list, written.version);
    // After a conflict or a lost answer the object is read again before the next write.
    written = result.isOk() ? { text, version: result.value } : undefined;
    if (result.isErr()) {
      const { step, peer, message } = result.error;
      logger.debug('seeds-not-written', { step, peer, reason: message });
    }
  };

  return {
    runOnce,
    run: async () => {
      await waitMs(FIRST_WRITE_MS * (1 + random() * 0.2), signal);
      // A node that knows nobody yet would replace the list of its data centre by itself.
      const isAlone = table.listPresent(settings.dataCentre).length < 2;
      if (!isAlone && !signal.aborted) await runOnce();
      while (!signal.aborted) {
        await waitMs(WRITE_GAP_MS * (1 + random() * 0.2), signal);
        if (!signal.aborted) await runOnce();
      }
    },
  };
}
