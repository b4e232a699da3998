/** Fakes of the parts around the call port, and a client that shows the whole answer. */
import { request as httpRequest, type IncomingHttpHeaders, type RequestOptions } from 'node:http';
import { Readable } from 'node:stream';
import { after } from 'node:test';
import {
  startCallPort,
  type CallPort,
  type CallPortOptions,
} from '../../src/core/calls/callPort.js';
import { SILENT_OBSERVER } from '../../src/core/calls/observer.js';
import type { InstanceRecord, MemberRecord, RouteConfig } from '../../src/generated/types.js';
import type { AttemptResult, Call, LoadReport, LocalDispatcher } from '../../src/types/calls.js';
import type { ConfigStore, MemberTable, MemberView } from '../../src/types/interfaces.js';
import type { CompiledRoute, RoutingState } from '../../src/types/routing.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';

const closers: (() => unknown)[] = [];
// Servers stay open until the tests of a file are over, also when one fails.
after(() => Promise.all(closers.map((close) => close())));

/** Registers what must be closed after the tests of a file. */
export function onEnd(close: () => unknown): void {
  closers.push(close);
}

type RouteChange = Partial<Omit<RouteConfig, 'match'>>;

export const LOAD: LoadReport = { busy: 1, slots: 10, queued: 0 };

export function buildInstance(change: Partial<InstanceRecord> = {}): InstanceRecord {
  const base = { instanceId: 'i', service: 'padbook', slots: 10, state: 'ready' as const };
  return { ...base, readySinceMs: 0, ...change };
}

export function buildView(change: Partial<MemberRecord> & { nodeId: string }): MemberView {
  const record: MemberRecord = {
    dataCentre: 'a',
    region: 'r',
    incarnation: `1-${change.nodeId}`,
    sequence: 1,
    host: '127.0.0.1',
    callPort: 1,
    peerPort: 1,
    state: 'serving',
    instances: [buildInstance({ instanceId: `${change.nodeId}-i` })],
    ...change,
  };
  return { record, verdict: 'alive', tag: {} as MemberView['tag'], sinceMs: 0 };
}

export function buildRoute(change: RouteChange = {}, maxEjectedPercent = 50): CompiledRoute {
  return {
    name: 'book',
    config: {
      match: { pathPrefix: '/' },
      service: 'padbook',
      repeatability: 'once',
      priority: 'normal',
      timeoutMs: 5000,
      retry: { maxAttempts: 3, budgetPercent: 20 },
      spillOver: true,
      ...change,
    },
    service: {
      name: 'padbook',
      config: {
        slots: 10,
        maxConnections: 100,
        queueLimit: 10,
        coldStartMs: 0,
        drainMs: 1000,
        outlier: { consecutiveFailures: 1, ejectMs: 60_000, maxEjectedPercent },
      },
    },
  } as unknown as CompiledRoute;
}

export function createMembers(self: MemberView, others: readonly MemberView[]): MemberTable {
  const all = [self, ...others];
  return {
    getSelf: () => self.record,
    getMember: (nodeId: string) => all.find((view) => view.record.nodeId === nodeId),
    listMembers: () => all,
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

export function answer(text: string, status = 200): AttemptResult {
  const headers = { 'content-length': String(text.length) };
  return {
    kind: 'answered',
    status,
    headers,
    body: Readable.from([Buffer.from(text)]),
    load: LOAD,
  };
}

/** A dispatcher that records its calls and answers as told. */
export class FakeDispatcher implements LocalDispatcher {
  readonly calls: Call[] = [];

  constructor(
    private readonly run: (call: Call) => AttemptResult | Promise<AttemptResult> = () =>
      answer('done'),
  ) {}

  async dispatch(call: Call): Promise<AttemptResult> {
    this.calls.push(call);
    return this.run(call);
  }

  // eslint-disable-next-line class-methods-use-this
  getLoad(): LoadReport {
    return LOAD;
  }

  // eslint-disable-next-line class-methods-use-this
  async drain(): Promise<{ cut: number }> {
    return { cut: 0 };
  }
}

export type EntryChange = Partial<CallPortOptions> & { route?: RouteChange; limits?: object };

/** A node without instances of its own in front of the given members. */
export async function startEntry(
  members: readonly MemberView[],
  change: EntryChange = {},
): Promise<CallPort> {
  const { route, limits, ...options } = change;
  const port = await startCallPort({
    host: '127.0.0.1',
    port: 0,
    settings: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 64,
      maxBufferedBytes: 100,
      headersTimeoutMs: 5000,
      maxInFlight: 10,
      ...limits,
    },
    config: createConfig(buildRoute(route)),
    members: createMembers(buildView({ nodeId: 'entry', instances: [] }), members),
    dispatcher: new FakeDispatcher(),
    observer: SILENT_OBSERVER,
    logger: SILENT_LOGGER,
    random: () => 0,
    lingerMs: 0,
    ...options,
  });
  onEnd(() => port.stop(0));
  return port;
}

/** A node with an instance, behind a real call port; `view` is its member record. */
export async function startInstanceNode(
  nodeId: string,
  dispatcher: LocalDispatcher,
  change: EntryChange & { dataCentre?: string } = {},
): Promise<{ port: CallPort; view: MemberView }> {
  const { dataCentre = 'a', ...options } = change;
  const members = createMembers(buildView({ nodeId, dataCentre }), []);
  const port = await startEntry([], { dispatcher, members, ...options });
  return { port, view: buildView({ nodeId, dataCentre, callPort: port.port }) };
}

/** A promise that the test resolves. */
export function createGate(): { open: () => void; opened: Promise<void> } {
  let open: () => void = () => {};
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  return { open, opened };
}

export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** False if the connection broke before the end of the body. */
  readonly isComplete: boolean;
}

/** Sends one request and collects the answer; rejects if there is none. */
export function send(port: number, options: RequestOptions = {}, body = ''): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const target = { host: '127.0.0.1', port, method: 'POST', path: '/x', agent: false as const };
    const request = httpRequest({ ...target, ...options }, (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      response.on('error', () => {});
      response.once('close', () => {
        const { statusCode: status = 0, headers, complete: isComplete } = response;
        resolve({ status, headers, text, isComplete });
      });
    });
    request.on('error', reject);
    request.end(body);
  });
}

/** Returns status, outcome and reason of an answer in one text, for tables. */
export function describe({ status, headers }: Answer): string {
  return [status, headers['lycheelane-outcome'], headers['lycheelane-reason']]
    .filter((part) => part !== undefined)
    .join(' ');
}
