/** Ranking of members for the relay role. */
import type { DataCentre } from '../../types/ids.js';
import { rankMembers } from '../../utils/rendezvous.js';
import type { Entry, Table } from './table.js';

/** Relays of one data centre. */
const RELAYS_PER_DATA_CENTRE = 2;

/** Ranks the members of data centres for the relay role. */
export interface RelayRanking {
  /** Live members of a data centre, best rank first; the first two act as relays. */
  listRanked(dataCentre: string): readonly Entry[];
  listRelays(dataCentre: string): readonly Entry[];
  listDataCentres(): readonly string[];
}

/** Creates the ranking; results are kept until the table changes. */
export function createRelayRanking(table: Table): RelayRanking {
  let revision = -1;
  let ranked = new Map<string, readonly Entry[]>();
  const orders = new Map<string, { readonly names: string; readonly order: readonly string[] }>();

  /** Scores are computed again only when the live members change, not with each record. */
  const rankNames = (dataCentre: string, live: readonly Entry[]): readonly string[] => {
    const nodeIds = live.map(({ record }) => record.nodeId);
    const names = nodeIds.join('\n');
    const known = orders.get(dataCentre);
    if (known?.names === names) return known.order;
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
    const list = rankNames(dataCentre, live).flatMap((nodeId) => table.get(nodeId) ?? []);
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
