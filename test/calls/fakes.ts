/** Fakes of the dependencies of the call port, and a client that returns the complete answer. */
import { once } from 'node:events';
import { request as httpRequest, type IncomingMessage, type RequestOptions } from 'node:http';
import { Readable } from 'node:stream';
import { after } from 'node:test';
import {
  startCallPort,
  type CallPort,
  type CallPortOptions,
} from '../../src/core/calls/callPort.js';
import { NOOP_OBSERVER } from '../../src/core/calls/observer.js';
import type { InstanceRecord, MemberRecord, RouteConfig } from '../../src/generated/types.js';
import type { AttemptResult, Call, LoadReport, LocalDispatcher } from '../../src/types/calls.js';
import type { ConfigStore, MemberTable, MemberView } from '../../src/types/interfaces.js';
import type { CompiledRoute, RoutingState } from '../../src/types/routing.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { unwrap } from '../fakes/results.js';

const cleanups: (() => unknown)[] = [];
// Closes the servers after all tests of a file, even if one fails.
after(() => Promise.all(cleanups.map((close) => close())));

/** Registers a function to run after the tests of a file. */
export function registerCleanup(close: () => unknown): void {
  cleanups.push(close);
}

type RouteChange = Partial<Omit<RouteConfig, 'match'>>;

const SIZES = { maxHeaderBytes: 4096, maxBodyBytes: 64, maxBufferedBytes: 100 };
export const LOAD: LoadReport = { busy: 1, slots: 10, queued: 0 };

export function buildInstance(change: Partial<InstanceRecord> = {}): InstanceRecord {
  const base = { instanceId: 'i', service: 'padbook', slots: 10, state: 'ready' as const };
  return { ...base, readySinceMs: 0, ...change };
}

export function buildView(change: Partial<MemberRecord> & { nodeId: string }): MemberView {
  const { nodeId } = change;
  const place = { dataCentre: 'a', region: 'r', host: '127.0.0.1', callPort: 1, peerPort: 1 };
  const instances = [buildInstance({ instanceId: `${nodeId}-i` })];
  const state = { incarnation: `1-${nodeId}`, sequence: 1, state: 'serving' as const };
  const record = { ...place, ...state, instances, ...change };
  return { record, verdict: 'alive', tag: {} as MemberView['tag'], sinceMs: 0 };
}

export function buildRoute(change: RouteChange = {}, maxEjectedPercent = 50): CompiledRoute {
  const retry = { maxAttempts: 3, budgetPercent: 20 };
  const base = { repeatability: 'once', timeoutMs: 5000, retry, spillOver: true };
  const outlier = { consecutiveFailures: 1, ejectMs: 60_000, maxEjectedPercent };
  const service = { name: 'padbook', config: { slots: 10, coldStartMs: 0, outlier } };
  return { name: 'book', config: { ...base, ...change }, service } as unknown as CompiledRoute;
}

export function createMembers(self: MemberView, others: readonly MemberView[]): MemberTable {
  const all = [self, ...others];
  return {
    getSelf: () => self.record,
    getMember: (nodeId: string) => all.find((view) => view.record.nodeId === nodeId),
    listByService: (service: string) =>
      all.filter(({ record }) => record.instances.some((each) => each.service === service)),
    onChange: () => {},
  } as unknown as MemberTable;
}

export function createConfig(route: CompiledRoute, isReady = true): ConfigStore {
  const routing = {
    version: 7,
    routes: new Map([[route.name, route]]),
    matchRoute: (_host: string, path: string) => (path === '/none' ? undefined : route),
  } as unknown as RoutingState;
  return { getRouting: () => routing, isReady: () => isReady } as unknown as ConfigStore;
}

export function buildAnswer(
  text: string,
  body = Readable.from([Buffer.from(text)]),
): AttemptResult {
  return { kind: 'answered', status: 200, headers: {}, body, load: LOAD };
}

/** Creates a dispatcher that records its calls and returns the results of `run`. */
export function createDispatcher(
  run: (call: Call) => AttemptResult | Promise<AttemptResult> = () => buildAnswer('done'),
) {
  const calls: Call[] = [];
  const dispatch = async (call: Call) => {
    calls.push(call);
    return run(call);
  };
  return { calls, dispatch, getLoad: () => LOAD, drain: async () => ({ abortedCalls: 0 }) };
}

export type EntryChange = Partial<CallPortOptions> & { route?: RouteChange; limits?: object };

/** Starts an entry node without instances that forwards to the given members. */
export async function startEntry(
  members: readonly MemberView[],
  change: EntryChange = {},
): Promise<CallPort> {
  const { route, limits, ...options } = change;
  const started = await startCallPort({
    host: '127.0.0.1',
    port: 0,
    settings: { ...SIZES, headersTimeoutMs: 5000, maxInFlight: 10, ...limits },
    config: createConfig(buildRoute(route)),
    members: createMembers(buildView({ nodeId: 'entry', instances: [] }), members),
    dispatcher: createDispatcher(),
    observer: NOOP_OBSERVER,
    logger: SILENT_LOGGER,
    random: () => 0,
    lingerMs: 0,
    ...options,
  });
  const port = unwrap(started);
  registerCleanup(() => port.stop(0));
  return port;
}

/** Starts a node with one instance and a real call port; `view` is its member view. */
export async function startInstanceNode(
  nodeId: string,
  dispatcher: LocalDispatcher,
  change: EntryChange = {},
): Promise<{ port: number; stop: CallPort['stop']; view: MemberView }> {
  const members = createMembers(buildView({ nodeId }), []);
  const { port, stop } = await startEntry([], { dispatcher, members, ...change });
  return { port, stop, view: buildView({ nodeId, callPort: port }) };
}

/** Starts an instance node for each dispatcher, and an entry node that lists them in order. */
export async function startMesh(
  dispatchers: Readonly<Record<string, LocalDispatcher>>,
  change: EntryChange = {},
): Promise<CallPort> {
  const nodes = Object.entries(dispatchers).map(([name, each]) => startInstanceNode(name, each));
  const views = (await Promise.all(nodes)).map(({ view }) => view);
  return startEntry(views, change);
}

/** Creates a promise with its `resolve` function. */
export function createDeferred<Value = void>() {
  let resolve: (value: Value) => void = () => {};
  const promise = new Promise<Value>((onResolve) => {
    resolve = onResolve;
  });
  return { resolve, promise };
}

/** Sends a request and returns its complete answer; rejects if the connection fails first. */
export async function send(port: number, options: RequestOptions = {}, body = '') {
  const target = { host: '127.0.0.1', port, method: 'POST', path: '/x', agent: false as const };
  const request = httpRequest({ ...target, ...options }).end(body);
  const [response] = (await once(request, 'response')) as [IncomingMessage];
  let text = '';
  response.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  response.on('error', () => {});
  await new Promise((resolve) => {
    response.once('close', resolve);
  });
  const { statusCode: status = 0, headers, complete: isComplete } = response;
  return { status, headers, text, isComplete };
}

/** Formats status, outcome and reason of an answer as one text, for tables of cases. */
export function formatAnswer({ status, headers }: Awaited<ReturnType<typeof send>>): string {
  const outcome = headers['lycheelane-outcome'];
  return outcome ? `${status} ${outcome} ${headers['lycheelane-reason']}` : String(status);
}
