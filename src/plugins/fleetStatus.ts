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

/** Time-out of the request to one member. */
const STATUS_TIMEOUT_MS = 1000;
/** Time-out of the request to a relay, which queries all members of its data centre. */
const COLLECT_TIMEOUT_MS = 3000;
const MAX_CONCURRENT_REQUESTS = 16;
/** Nodes of another data centre that are queried in turn until one responds. */
const MAX_RELAY_ATTEMPTS = 3;

/** Dependencies of the fleet status. */
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

/** Result of `status.get` and `status.collect`; `what` selects which list is filled. */
interface CollectedStatus {
  readonly nodes: readonly NodeStatus[];
  readonly burn: readonly RouteStats[];
}

/** Status of all nodes. */
export interface FleetStatus {
  /** Methods for the peer server. */
  readonly methods: PeerMethods;
  getOwnStatus(): NodeStatus;
  listNodes(): Promise<{ nodes: NodeStatus[]; dataCentres: DataCentreStatus[] }>;
  listRouteStats(): Promise<RouteStats[]>;
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

  const getOwnStatus = (): NodeStatus => {
    const { nodeId, dataCentre, region, state } = membership.getSelf();
    const { version, digest } = store.getTag();
    const refusal = buildRefusal(store.getLastRefusal());
    const verdict = 'alive';
    const ready = store.isReady();
    return { nodeId, dataCentre, region, verdict, state, ready, version, digest, refusal };
  };

  const buildUnreachableStatus = ({ record, verdict, tag }: MemberView): NodeStatus => {
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
      // The tag is newer than the record: the refused version may have been installed since.
      refusal: buildRefusal(refused && refused.version > version ? refused : undefined),
    };
  };

  const requestStatus = (
    to: MemberRecord,
    method: 'status.get' | 'status.collect',
    what: StatusCollect['what'],
  ): Promise<Result<CollectedStatus, StepError>> => {
    const { nodeId, incarnation, dataCentre } = membership.getSelf();
    const params = { from: { nodeId, incarnation, dataCentre }, what };
    const timeoutMs = method === 'status.get' ? STATUS_TIMEOUT_MS : COLLECT_TIMEOUT_MS;
    return peers.request<CollectedStatus>(toAddress(to), method, params, timeoutMs);
  };

  const collectOwnNode = (what: StatusCollect['what']): CollectedStatus =>
    what === 'nodes' ? { nodes: [getOwnStatus()], burn: [] } : { nodes: [], burn: stats.list() };

  /** Members that may be running: neither left nor dead. */
  const listPresentMembers = (dataCentre: string) =>
    membership
      .listMembers()
      .filter(
        ({ record, verdict }) =>
          record.dataCentre === dataCentre && record.state !== 'left' && verdict !== 'dead',
      );

  const collectOwnDataCentre = async (what: StatusCollect['what']): Promise<CollectedStatus> => {
    const self = membership.getSelf();
    const answers = await mapLimited(
      listPresentMembers(self.dataCentre),
      MAX_CONCURRENT_REQUESTS,
      async (view): Promise<CollectedStatus> => {
        if (view.record.nodeId === self.nodeId) return collectOwnNode(what);
        const answer = await requestStatus(view.record, 'status.get', what);
        if (answer.isOk()) return answer.value;
        return { nodes: what === 'nodes' ? [buildUnreachableStatus(view)] : [], burn: [] };
      },
    );
    return {
      nodes: answers.flatMap(({ nodes }) => nodes),
      burn: answers.flatMap(({ burn }) => burn),
    };
  };

  const collectRemoteDataCentre = async (
    dataCentre: string,
    what: StatusCollect['what'],
  ): Promise<Result<CollectedStatus, StepError | undefined>> => {
    const relays = membership.listRelays(brandText<DataCentre>(dataCentre));
    const otherMembers = listPresentMembers(dataCentre).filter((view) => !relays.includes(view));
    let failure: StepError | undefined;
    for (const { record } of [...relays, ...otherMembers].slice(0, MAX_RELAY_ATTEMPTS)) {
      const answer = await requestStatus(record, 'status.collect', what);
      if (answer.isOk()) return ok(answer.value);
      failure = answer.error;
    }
    return err(failure);
  };

  const updateReachability = (name: string, reachable: boolean): DataCentreStatus => {
    if (reachable) unreachableSince.delete(name);
    else if (!unreachableSince.has(name)) unreachableSince.set(name, Date.now());
    const relayView = membership.listDataCentres().find((view) => view.dataCentre === name);
    const relaySinceMs = relayView && !relayView.isReachable ? relayView.sinceMs : undefined;
    return { name, reachable, sinceMs: relaySinceMs ?? unreachableSince.get(name) ?? null };
  };

  const listDataCentreNames = () =>
    [...new Set(membership.listMembers().map(({ record }) => record.dataCentre))].sort();

  const collectAllDataCentres = async (what: StatusCollect['what']) => {
    const ownDataCentre = membership.getSelf().dataCentre;
    return Promise.all(
      listDataCentreNames().map(async (name) => {
        const collected =
          name === ownDataCentre
            ? ok(await collectOwnDataCentre(what))
            : await collectRemoteDataCentre(name, what);
        return { name, collected };
      }),
    );
  };

  return {
    getOwnStatus,
    methods: {
      'status.get': ({ what }: StatusCollect) => ok(collectOwnNode(what)),
      'status.collect': async ({ what }: StatusCollect) => ok(await collectOwnDataCentre(what)),
    },
    listNodes: async () => {
      const nodes: NodeStatus[] = [];
      const dataCentres: DataCentreStatus[] = [];
      for (const { name, collected } of await collectAllDataCentres('nodes')) {
        const listUnreachable = () => listPresentMembers(name).map(buildUnreachableStatus);
        nodes.push(...(collected.isOk() ? collected.value.nodes : listUnreachable()));
        dataCentres.push(updateReachability(name, collected.isOk()));
      }
      return { nodes, dataCentres };
    },
    listRouteStats: async () =>
      (await collectAllDataCentres('burn')).flatMap(({ collected }) =>
        collected.isOk() ? collected.value.burn : [],
      ),
  };
}
