/** Status of this node and of all nodes, collected on demand through the relays. */
import { err, ok, type Result } from 'neverthrow';
import { toAddress } from '../core/membership/context.js';
import type { Membership } from '../core/membership/start.js';
import type { PeerMethods } from '../core/peer/dispatcher.js';
import type { StepError } from '../errors.js';
import type { MemberRecord, NodeStatus, Refusal, StatusCollect } from '../generated/types.js';
import { brandText, type DataCentre } from '../types/ids.js';
import type { ConfigStore, MemberView, PeerClient } from '../types/interfaces.js';
import { mapLimited } from '../utils/mapLimited.js';
import type { CallStats, RouteStats } from './callStats.js';

/** Time for one member to answer. */
const GET_TIMEOUT_MS = 1000;
/** Time for a relay to ask all members of its data centre. */
const COLLECT_TIMEOUT_MS = 3000;
const PARALLEL_REQUESTS = 16;
/** Nodes of another data centre that are tried in turn. */
const TRIED_RELAYS = 3;

/** Parts that the status reads. */
export interface FleetStatusOptions {
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly store: ConfigStore;
  readonly stats: CallStats;
}

/** Reachability of a data centre; `sinceMs` is null while it is reachable. */
export interface DataCentreStatus {
  readonly name: string;
  readonly reachable: boolean;
  readonly sinceMs: number | null;
}

/** What one data centre answered. */
interface Collected {
  readonly nodes: readonly NodeStatus[];
  readonly burn: readonly RouteStats[];
}

/** Status over several nodes. */
export interface FleetStatus {
  /** Methods for the peer server. */
  readonly methods: PeerMethods;
  getOwn(): NodeStatus;
  listNodes(): Promise<{ nodes: NodeStatus[]; dataCentres: DataCentreStatus[] }>;
  listBurn(): Promise<RouteStats[]>;
}

function buildRefusal(refusal: Refusal | undefined): NodeStatus['refusal'] {
  if (!refusal) return null;
  const { version, step, reason } = refusal;
  return { version, step, reason };
}

/** Creates the fleet status of a node. */
export function createFleetStatus(options: FleetStatusOptions): FleetStatus {
  const { membership, peers, store, stats } = options;
  const unreachableSince = new Map<string, number>();

  const getOwn = (): NodeStatus => {
    const { nodeId, dataCentre, region, state } = membership.getSelf();
    const { version, digest } = store.getTag();
    const refusal = buildRefusal(store.getLastRefusal());
    const verdict = 'alive';
    const ready = store.isReady();
    return { nodeId, dataCentre, region, verdict, state, ready, version, digest, refusal };
  };

  const buildSilentStatus = ({ record, verdict, tag }: MemberView): NodeStatus => {
    const { nodeId, dataCentre, region, state, refused } = record;
    const { version, digest } = tag;
    return {
      nodeId,
      dataCentre,
      region,
      verdict: verdict === 'alive' ? 'suspect' : verdict,
      state,
      ready: false,
      version,
      digest,
      // A refused version that was installed since is told by the tag, which is newer.
      refusal: buildRefusal(refused && refused.version > version ? refused : undefined),
    };
  };

  const requestStatus = (
    to: MemberRecord,
    method: 'status.get' | 'status.collect',
    what: StatusCollect['what'],
  ): Promise<Result<Collected, StepError>> => {
    const { nodeId, incarnation, dataCentre } = membership.getSelf();
    const params = { from: { nodeId, incarnation, dataCentre }, what };
    const timeoutMs = method === 'status.get' ? GET_TIMEOUT_MS : COLLECT_TIMEOUT_MS;
    return peers.request<Collected>(toAddress(to), method, params, timeoutMs);
  };

  const answerOwn = (what: StatusCollect['what']): Collected =>
    what === 'nodes' ? { nodes: [getOwn()], burn: [] } : { nodes: [], burn: stats.list() };

  /** Members that may run: neither gone nor, long since, dead. */
  const listPresent = (dataCentre: string) =>
    membership
      .listMembers()
      .filter(
        ({ record, verdict }) =>
          record.dataCentre === dataCentre && record.state !== 'left' && verdict !== 'dead',
      );

  const collectOwn = async (what: StatusCollect['what']): Promise<Collected> => {
    const self = membership.getSelf();
    const answers = await mapLimited(
      listPresent(self.dataCentre),
      PARALLEL_REQUESTS,
      async (view): Promise<Collected> => {
        if (view.record.nodeId === self.nodeId) return answerOwn(what);
        const answer = await requestStatus(view.record, 'status.get', what);
        if (answer.isOk()) return answer.value;
        return { nodes: what === 'nodes' ? [buildSilentStatus(view)] : [], burn: [] };
      },
    );
    return {
      nodes: answers.flatMap(({ nodes }) => nodes),
      burn: answers.flatMap(({ burn }) => burn),
    };
  };

  const collectOther = async (
    dataCentre: string,
    what: StatusCollect['what'],
  ): Promise<Result<Collected, StepError | undefined>> => {
    const relays = membership.listRelays(brandText<DataCentre>(dataCentre));
    const others = listPresent(dataCentre).filter((view) => !relays.includes(view));
    let failure: StepError | undefined;
    for (const { record } of [...relays, ...others].slice(0, TRIED_RELAYS)) {
      const answer = await requestStatus(record, 'status.collect', what);
      if (answer.isOk()) return ok(answer.value);
      failure = answer.error;
    }
    return err(failure);
  };

  const recordReachable = (name: string, reachable: boolean): DataCentreStatus => {
    if (reachable) unreachableSince.delete(name);
    else if (!unreachableSince.has(name)) unreachableSince.set(name, Date.now());
    const relayView = membership.listDataCentres().find((view) => view.dataCentre === name);
    const since = relayView && !relayView.isReachable ? relayView.sinceMs : undefined;
    return { name, reachable, sinceMs: since ?? unreachableSince.get(name) ?? null };
  };

  const listDataCentreNames = () =>
    [...new Set(membership.listMembers().map(({ record }) => record.dataCentre))].sort();

  const listAll = async (what: StatusCollect['what']) => {
    const own = membership.getSelf().dataCentre;
    return Promise.all(
      listDataCentreNames().map(async (name) => {
        const collected =
          name === own ? ok(await collectOwn(what)) : await collectOther(name, what);
        return { name, collected };
      }),
    );
  };

  return {
    getOwn,
    methods: {
      'status.get': ({ what }: StatusCollect) => ok(answerOwn(what)),
      'status.collect': async ({ what }: StatusCollect) => ok(await collectOwn(what)),
    },
    listNodes: async () => {
      const nodes: NodeStatus[] = [];
      const dataCentres: DataCentreStatus[] = [];
      for (const { name, collected } of await listAll('nodes')) {
        const listSilent = () => listPresent(name).map(buildSilentStatus);
        nodes.push(...(collected.isOk() ? collected.value.nodes : listSilent()));
        dataCentres.push(recordReachable(name, collected.isOk()));
      }
      return { nodes, dataCentres };
    },
    listBurn: async () =>
      (await listAll('burn')).flatMap(({ collected }) =>
        collected.isOk() ? collected.value.burn : [],
      ),
  };
}
