/** Selection of the relays of each data centre. */
import type { DataCentre } from '../../types/ids.js';
import { rankMembers } from '../../utils/rendezvous.js';
import type { Entry, Table } from './table.js';

/** Number of relays per data centre. */
export const RELAYS_PER_DATA_CENTRE = 2;

/** Ranks the members of data centres for the relay role. */
export interface RelayRanking {
  /** Lists the alive, not leaving members of a data centre, best rank first. */
  listRanked(dataCentre: string): readonly Entry[];
  /** Lists the members that act as relays: the first two of the ranking. */
  listRelays(dataCentre: string): readonly Entry[];
  listDataCentres(): readonly string[];
}

/** Creates the ranking. Results are cached until the table changes. */
export function createRelayRanking(table: Table): RelayRanking {
  let revision = -1;
  let ranked = new Map<string, readonly Entry[]>();
  const orders = new Map<string, { readonly names: string; readonly order: readonly string[] }>();

  /** Computes scores only when the set of live members changes, not on every record change. */
  const rankNodeIds = (dataCentre: string, live: readonly Entry[]): readonly string[] => {
    const nodeIds = live.map(({ record }) => record.nodeId);
    const names = nodeIds.join('\n');
    const cached = orders.get(dataCentre);
    if (cached?.names === names) return cached.order;
    const order = rankMembers(dataCentre, nodeIds, (nodeId) => nodeId);
    orders.set(dataCentre, { names, order });
    return order;
  };

  const listRanked = (dataCentre: string): readonly Entry[] => {
    if (revision !== table.getRevision()) {
      revision = table.getRevision();
      ranked = new Map();
    }
    const cached = ranked.get(dataCentre);
    if (cached) return cached;
    const live = table
      .listPresent(dataCentre)
      .filter(({ record, verdict }) => verdict === 'alive' && record.state !== 'leaving');
    const list = rankNodeIds(dataCentre, live).flatMap((nodeId) => table.get(nodeId) ?? []);
    ranked.set(dataCentre, list);
    return list;
  };

  return {
    listRanked,
    listRelays: (dataCentre) => listRanked(dataCentre).slice(0, RELAYS_PER_DATA_CENTRE),
    listDataCentres: () => [
      ...new Set(table.listPresent().map(({ record }) => record.dataCentre as DataCentre)),
    ],
  };
}
