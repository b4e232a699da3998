/** Nodes with the real call path, and fake upstreams and connections controlled by the test. */
import assert from 'node:assert/strict';
import { listCandidates } from '../../src/core/calls/candidates.js';
import { runCall, type EntryParts } from '../../src/core/calls/entry.js';
import { createNodeStatsTable } from '../../src/core/calls/nodeStats.js';
import { NOOP_OBSERVER } from '../../src/core/calls/observer.js';
import { createRetryBudget } from '../../src/core/calls/retryBudget.js';
import { createLocalDispatcher } from '../../src/core/upstream/dispatcher.js';
import { createInstanceTable } from '../../src/core/upstream/instanceTable.js';
import { createDeduplicationStore } from '../../src/core/upstream/deduplicationStore.js';
import type { Announcement } from '../../src/generated/types.js';
import type { AttemptResult, Call } from '../../src/types/calls.js';
import { brandText } from '../../src/types/ids.js';
import type { MemberTable, MemberView } from '../../src/types/interfaces.js';
import type { CompiledRoute, RoutingState } from '../../src/types/routing.js';
import { CALL_HEADERS } from '../../src/types/outcome.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { createFakePools } from '../fakes/callPools.js';
import { settle } from '../../standins/memory/clock.js';
import { createRandom } from '../../standins/memory/nodes.js';
import { createFakeClient, type FakeExchange } from '../upstream/fakeClient.js';
import {
  buildAnnouncement,
  buildCall,
  buildMember,
  buildRoute,
  buildView,
  SERVICE,
} from '../upstream/support.js';

export const SLOTS = 2;
export const DRAIN_MS = 2000;
const TTL_MS = 3000;
const ANNOUNCE_INTERVAL_MS = 250;
const RANDOM_SEED = 20_261_204;
const RETRY = { maxAttempts: 3, budgetPercent: 20 };
/** Initial retry tokens of a route. */
const INITIAL_RETRY_TOKENS = 3;
const SERVICE_CHANGE = {
  ...{ slots: SLOTS, queueLimit: 3, drainMs: DRAIN_MS },
  outlier: { consecutiveFailures: 2, ejectMs: 1000, maxEjectedPercent: 50 },
};

/** How an upstream ends an exchange. */
export const EXCHANGE_ENDINGS = {
  answer: (exchange: FakeExchange) => exchange.answer(),
  error: (exchange: FakeExchange) => exchange.answer(500),
  shed: (exchange: FakeExchange) =>
    exchange.answer(503, {
      [CALL_HEADERS.outcome]: 'not-run',
      [CALL_HEADERS.request]: exchange.requestId,
    }),
  busy: (exchange: FakeExchange) => exchange.answer(503),
  fail: (exchange: FakeExchange) => exchange.fail(),
  truncate: (exchange: FakeExchange) => {
    exchange.answer(200, {}, false);
    exchange.fail();
  },
} as const;
export type ExchangeEnding = keyof typeof EXCHANGE_ENDINGS;

/** A call of a test sequence. */
interface SentCall {
  readonly call: Call;
  readonly abort: AbortController;
  /** Exchanges received by upstreams, except those that an upstream reported as not run. */
  runs: number;
  results: AttemptResult['kind'][];
}

/** State shared by the nodes of a fleet. */
interface FleetState {
  readonly sent: Map<string, SentCall>;
  /** Violations found where a thrown error would be treated as a failure of the upstream. */
  readonly violations: string[];
  readonly routing: RoutingState;
}

function startNode(nodeId: string, { sent, violations, routing }: FleetState) {
  const view = buildView(buildMember(nodeId, { instances: [] }));
  const published = { instances: view.record.instances };
  const table = createInstanceTable({
    members: {
      updateSelf: ({ instances = [] }) => {
        published.instances = instances;
      },
    },
    ...{ ttlMs: TTL_MS, ownHost: '127.0.0.1', logger: SILENT_LOGGER },
  });
  const state = { isStopping: false, isLinkDown: false };
  const latestAnnouncements = new Map<string, { state: Announcement['state']; atMs: number }>();
  const announcing = new Set<string>();
  const upstream = createFakeClient(({ requestId, instanceId }) => {
    const { state: announced, atMs } = latestAnnouncements.get(instanceId) ?? {
      state: 'none',
      atMs: 0,
    };
    const ageMs = performance.now() - atMs;
    if (announced !== 'ready' || ageMs > TTL_MS) {
      violations.push(`a call for ${instanceId}: ${announced} ${ageMs} ms ago`);
    }
    if (state.isStopping) violations.push(`${nodeId} sent a call to an upstream while stopping`);
    const sentCall = sent.get(requestId);
    if (sentCall) sentCall.runs += 1;
  });
  const dispatcher = createLocalDispatcher({
    table,
    store: { getRouting: () => routing, isReady: () => true },
    deduplication: createDeduplicationStore({ maxKeys: 10_000, retentionMs: 900_000 }),
    logger: SILENT_LOGGER,
    client: upstream.client,
  });
  return {
    nodeId,
    view,
    published,
    table,
    state,
    upstream,
    dispatcher,
    latestAnnouncements,
    announcing,
  };
}

type FleetNode = ReturnType<typeof startNode>;

function createFleetMembers(nodes: readonly FleetNode[], views: Map<string, MemberView>) {
  const getSelf = () => {
    const [self] = nodes;
    assert.ok(self);
    return { ...self.view.record, instances: self.published.instances };
  };
  const list = () => [...views.values()].filter(({ record }) => record.instances.length > 0);
  return {
    getSelf,
    getMember: (nodeId: string) => views.get(nodeId),
    listByService: () => list(),
    onChange: () => {},
  } as unknown as MemberTable;
}

/**
 * Creates a fleet of three nodes; the first one is the entry node. `advanceClock` advances the mock
 * timers and `performance.now`.
 */
export function createFleet(advanceClock: (ms: number) => void) {
  const sent = new Map<string, SentCall>();
  const routes = new Map<string, CompiledRoute>();
  const { service } = buildRoute({}, SERVICE_CHANGE);
  const routing = { services: new Map([[SERVICE, service]]) } as unknown as RoutingState;
  const violations: string[] = [];
  const shared = { sent, violations, routing };
  const nodes = ['n0', 'n1', 'n2'].map((nodeId) => startNode(nodeId, shared));
  const views = new Map(nodes.map((node) => [node.nodeId, node.view]));
  const [self] = nodes;
  assert.ok(self);
  const retries = new Map<string, number>();
  const parts: EntryParts = {
    members: createFleetMembers(nodes, views),
    dispatcher: self.dispatcher,
    pools: createFakePools(async ({ nodeId }, requestId, signal) => {
      const node = nodes.find((each) => each.nodeId === nodeId);
      const sentCall = sent.get(requestId);
      if (!node || !sentCall || node.state.isLinkDown) return 'lost';
      return node.dispatcher.dispatch({ ...sentCall.call, signal });
    }),
    stats: createNodeStatsTable(),
    getLocalLoad: self.dispatcher.getLoad,
    isLeaving: () => self.state.isStopping,
    retryBudget: createRetryBudget(),
    observer: {
      ...NOOP_OBSERVER,
      recordRetry: (name) => retries.set(name, (retries.get(name) ?? 0) + 1),
    },
    random: createRandom(RANDOM_SEED),
  };

  /** Updates the record of a node at the entry node, whose own record is always current. */
  const publishRecord = (node: FleetNode, verdict: MemberView['verdict'] = 'alive') => {
    const state = node.state.isStopping ? ('leaving' as const) : ('serving' as const);
    const record = { ...node.view.record, state, instances: node.published.instances };
    views.set(node.nodeId, { ...node.view, verdict, record });
  };

  const announce = (node: FleetNode, instanceId: string, state: Announcement['state']) => {
    node.announcing.add(instanceId);
    node.latestAnnouncements.set(instanceId, { state, atMs: performance.now() });
    const busy = node.upstream.listOpen().filter((each) => each.instanceId === instanceId);
    const running = busy.map(({ requestId }) => requestId);
    const change = { instanceId, state, slots: SLOTS, busy: busy.length, running };
    assert.ok(node.table.record(buildAnnouncement(change)).isOk());
    if (node === self) publishRecord(node);
  };

  const send = (repeatability: 'once' | 'repeatable', timeoutMs: number) => {
    const route = buildRoute({ repeatability, retry: RETRY }, SERVICE_CHANGE);
    const named = { ...route, name: brandText<typeof route.name>(repeatability) };
    routes.set(named.name, named);
    const abort = new AbortController();
    const call = buildCall({ route: named, signal: abort.signal }, timeoutMs);
    const sentCall: SentCall = { call, abort, runs: 0, results: [] };
    sent.set(call.requestId, sentCall);
    void runCall(call, parts).then((result) => {
      sentCall.results.push(result.kind);
      if (result.kind === 'answered') result.body.on('error', () => {}).resume();
    });
  };

  const finish = (exchange: FakeExchange, ending: ExchangeEnding) => {
    const sentCall = sent.get(exchange.requestId);
    if (sentCall && ending === 'shed') sentCall.runs -= 1;
    EXCHANGE_ENDINGS[ending](exchange);
  };

  const checkRetries = () => {
    for (const [name, count] of retries) {
      const calls = [...sent.values()].filter(({ call }) => call.route.name === name).length;
      const allowedRetries = INITIAL_RETRY_TOKENS + (calls * RETRY.budgetPercent) / 100;
      assert.ok(count <= allowedRetries, `${count} retries of ${calls} calls on ${name}`);
    }
  };

  const checkEjections = () => {
    const [route] = routes.values();
    if (!route) return;
    let ejected = 0;
    const exclude = (_view: MemberView, reason: string) => {
      if (reason === 'ejected') ejected += 1;
    };
    listCandidates(route, parts, undefined, performance.now(), exclude);
    const { maxEjectedPercent } = SERVICE_CHANGE.outlier;
    assert.ok(ejected * 100 <= nodes.length * maxEjectedPercent, `${ejected} are ejected`);
  };

  const checkSlots = () => {
    for (const { nodeId, table, dispatcher, upstream, view } of nodes) {
      const open = upstream.listOpen();
      for (const { instanceId, usage } of table.list(SERVICE)) {
        const running = open.filter((each) => each.instanceId === instanceId).length;
        assert.ok(running <= SLOTS, `${running} exchanges at ${instanceId}`);
        assert.equal(usage.countInFlight(), running, `slots of ${instanceId}`);
      }
      const load = dispatcher.getLoad(SERVICE);
      assert.ok(!load || (load.busy >= 0 && load.queued >= 0), JSON.stringify(load));
      const { outstanding } = parts.stats.get(SERVICE, nodeId, view.record.incarnation);
      assert.ok(outstanding >= 0, `${outstanding} outstanding calls at ${nodeId}`);
    }
  };

  const checkOutcome = ({ call, runs, results }: SentCall) => {
    assert.equal(results.length, 1, `${results.length} outcomes of one call`);
    const { repeatability } = call.route.config;
    if (repeatability === 'once') assert.ok(runs <= 1, `${runs} runs of a once call`);
    if (results[0] === 'notRun') assert.equal(runs, 0, 'a call that is "not run" ran');
    if (results[0] === 'answered') assert.ok(runs > 0, 'an answer without a run');
  };

  return {
    ...{ nodes, sent, announce, publishRecord, send, finish },
    listOpen: () => nodes.flatMap((node) => node.upstream.listOpen()),
    listPending: () => [...sent.values()].filter(({ results }) => results.length === 0),
    countRetries: () => [...retries.values()].reduce((sum, count) => sum + count, 0),
    async advance(totalMs: number) {
      for (let passedMs = 0; passedMs < totalMs; passedMs += ANNOUNCE_INTERVAL_MS) {
        for (const node of nodes) {
          for (const instanceId of node.announcing) {
            announce(node, instanceId, node.latestAnnouncements.get(instanceId)?.state ?? 'ready');
          }
        }
        advanceClock(ANNOUNCE_INTERVAL_MS);
        await settle();
      }
    },
    /** Checks the invariants that hold after each step. */
    check() {
      assert.deepEqual(violations, []);
      checkRetries();
      checkEjections();
      checkSlots();
    },
    /** Completes all exchanges and checks that no calls or slots remain in use. */
    async close() {
      assert.deepEqual(violations, []);
      for (let open = this.listOpen(); open.length > 0; open = this.listOpen()) {
        for (const exchange of open) finish(exchange, 'answer');
        await settle();
      }
      for (const sentCall of sent.values()) checkOutcome(sentCall);
      for (const { nodeId, dispatcher, table, view } of nodes) {
        const { inFlight, queued, abandoned } = dispatcher.getCounts();
        assert.deepEqual({ inFlight, queued, abandoned }, { inFlight: 0, queued: 0, abandoned: 0 });
        const { outstanding } = parts.stats.get(SERVICE, nodeId, view.record.incarnation);
        assert.equal(outstanding, 0, `${nodeId} has calls outstanding`);
        for (const { usage } of table.list(SERVICE)) assert.equal(usage.countInFlight(), 0);
        table.close();
        await dispatcher.close();
      }
    },
  };
}

export type Fleet = ReturnType<typeof createFleet>;
