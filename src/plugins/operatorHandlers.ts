/** Request handlers of the operator port. */
import type { CallPort } from '../core/calls/callPort.js';
import type { Membership } from '../core/membership/start.js';
import type { InstanceDispatcher } from '../core/upstream/dispatcher.js';
import type { ConfigStore, ControlCounters } from '../types/interfaces.js';
import { brandText, type RouteName } from '../types/ids.js';
import { computeBurnRates, deriveAlert } from './burnRate.js';
import { mergeStats, type CallStats, type RouteStats } from './callStats.js';
import type { FleetStatus } from './fleetStatus.js';
import type { Metrics } from './metrics.js';
import { buildJsonResponse, type OperatorHandler } from './operatorPort.js';
import type { UsageSampler } from './processUsage.js';

/** Sources that the handlers read. */
export interface OperatorSources {
  readonly store: ConfigStore;
  readonly membership: Membership;
  readonly counters: ControlCounters;
  readonly usage: UsageSampler;
  readonly metrics: Metrics;
  readonly stats: CallStats;
  readonly fleet: FleetStatus;
  readonly callPort: Pick<CallPort, 'explainRoute' | 'port'>;
  readonly dispatcher: Pick<InstanceDispatcher, 'getCounts'>;
}

function buildStatus(sources: OperatorSources): object {
  const { store, membership, counters, usage, fleet, dispatcher } = sources;
  const { incarnation, host, callPort, peerPort, instances } = membership.getSelf();
  const members = membership.listMembers();
  const countVerdict = (verdict: string) =>
    members.filter((member) => member.verdict === verdict).length;
  return {
    ...fleet.getOwnStatus(),
    incarnation,
    host,
    callPort,
    peerPort,
    relay: membership.isRelay(),
    floor: store.getFloor(),
    instances,
    members: {
      alive: countVerdict('alive'),
      suspect: countVerdict('suspect'),
      dead: countVerdict('dead'),
    },
    dataCentres: membership.listDataCentres(),
    calls: dispatcher.getCounts(),
    control: counters.snapshot(),
    process: usage.get(),
  };
}

/** Builds the burn-rate report from node statistics and the installed objectives. */
function buildBurnReport(store: ConfigStore, stats: readonly RouteStats[]): object {
  const routes = store.getRouting()?.routes;
  return {
    version: store.getTag().version,
    routes: mergeStats(stats).map((merged) => {
      const objective = routes?.get(brandText<RouteName>(merged.route))?.config.objective;
      if (objective === undefined) return { ...merged, objective: null };
      const { availability, latency } = computeBurnRates(objective, merged.windows);
      return {
        ...merged,
        objective,
        availability: { burn: availability, alert: deriveAlert(availability) },
        latency: latency ? { burn: latency, alert: deriveAlert(latency) } : null,
      };
    }),
  };
}

/** Creates the handlers, keyed by path. */
export function createOperatorHandlers(
  sources: OperatorSources,
): Readonly<Record<string, OperatorHandler>> {
  const { store, fleet, stats, metrics, callPort } = sources;
  const isAllNodes = (query: URLSearchParams) => query.get('scope') === 'all';
  return {
    '/v1/status': () => buildJsonResponse(buildStatus(sources)),
    '/v1/nodes': async (query) =>
      buildJsonResponse(
        isAllNodes(query)
          ? await fleet.listNodes()
          : { nodes: [fleet.getOwnStatus()], dataCentres: [] },
      ),
    '/v1/explain': (query) => {
      const explanation = callPort.explainRoute(query.get('route') ?? '');
      if (explanation.isOk()) return buildJsonResponse(explanation.value);
      const status = explanation.error.kind === 'not-found' ? 404 : 503;
      return buildJsonResponse({ error: explanation.error.message }, status);
    },
    '/v1/burn': async (query) =>
      buildJsonResponse(
        buildBurnReport(store, isAllNodes(query) ? await fleet.listRouteStats() : stats.list()),
      ),
    '/metrics': async () => ({
      status: 200,
      contentType: metrics.contentType,
      body: await metrics.render(),
    }),
    '/healthz': () => {
      if (store.isReady()) return buildJsonResponse({ ready: true });
      const { version } = store.getTag();
      const floor = store.getFloor().version;
      const reason = `version ${version} installed, floor ${floor}`;
      return buildJsonResponse({ ready: false, reason }, 503);
    },
  };
}
