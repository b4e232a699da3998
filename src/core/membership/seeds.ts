/** Seed lists of the data centres, stored on the platform. */
import type { SeedList } from '../../generated/types.js';
import { validateSeeds } from '../../generated/validators.js';
import type { PeerAddress, PlatformObject } from '../../types/interfaces.js';
import { waitMs } from '../../utils/backoff.js';
import { rankMembers } from '../../utils/rendezvous.js';
import { toAddress, type MembershipContext } from './context.js';
import type { RelayRanking } from './relays.js';

/** Maximum number of addresses in a seed list. */
const MAX_SEEDS = 16;
/** Minimum time between two writes of the seed list. */
const WRITE_INTERVAL_MS = 10_000;
/** Delay of the first write: shorter, since other data centres may be waiting for the list. */
const FIRST_WRITE_DELAY_MS = 2000;
/** Maximum random extension of both times, as a fraction. */
const WRITE_JITTER = 0.2;

function listAddresses(objects: readonly PlatformObject<unknown>[]): PeerAddress[] {
  return objects.flatMap(({ value }) =>
    validateSeeds(value) ? (value as SeedList).addresses : [],
  );
}

/** Reads the seed list of the local data centre; empty if it is absent or cannot be read. */
export async function readSeeds(
  context: Pick<MembershipContext, 'settings' | 'platform'>,
): Promise<PeerAddress[]> {
  const name = `seeds/${context.settings.dataCentre}`;
  const object = await context.platform.read<unknown>(name);
  return object.isOk() && object.value ? listAddresses([object.value]) : [];
}

/** Reads the seed lists of all data centres; empty if they cannot be read. */
export async function readAllSeeds(context: MembershipContext): Promise<PeerAddress[]> {
  const objects = await context.platform.list<unknown>('seeds');
  return objects.isOk() ? listAddresses(objects.value) : [];
}

/** Updates the seed list of the local data centre. */
export interface SeedWriter {
  /** Writes the list if this node is the first relay and the list has changed. */
  runOnce(): Promise<void>;
  run(): Promise<void>;
}

/** Creates the writer. Only the first relay writes, and only if the stored version is unchanged. */
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
    const isFirstRelay =
      ranking.listRelays(settings.dataCentre)[0]?.record.nodeId === settings.nodeId;
    if (!isFirstRelay) {
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
    // After a conflict or an unanswered write, the object is read again before the next write.
    written = result.isOk() ? { text, version: result.value } : undefined;
    if (result.isErr()) {
      const { step, peer, message } = result.error;
      logger.debug('seeds-not-written', { step, peer, reason: message });
    }
  };

  return {
    runOnce,
    run: async () => {
      await waitMs(FIRST_WRITE_DELAY_MS * (1 + random() * WRITE_JITTER), signal);
      // A node that knows no other member yet would overwrite the list with its own address only.
      const isOnlyMember = table.listPresent(settings.dataCentre).length < 2;
      if (!isOnlyMember && !signal.aborted) await runOnce();
      while (!signal.aborted) {
        await waitMs(WRITE_INTERVAL_MS * (1 + random() * WRITE_JITTER), signal);
        if (!signal.aborted) await runOnce();
      }
    },
  };
}
