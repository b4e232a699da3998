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
    const list = rankMembers(dataCentre, live, ({ record }) => record.nodeId);
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
