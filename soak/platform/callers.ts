/** Callers of the soak on the platform. They reuse a connection until the server closes it. */
import { Agent } from 'node:http';
import { connect } from 'node:net';
import { sendHttp, wait, type FleetResponse } from '../../standins/mesh/meshFleet.js';
import { CALL_PORT_INDEX } from '../../standins/mesh/nodeProcess.js';
import type { PlatformChecker } from './checker.js';
import type { SoakFleet, SoakHost } from './fleet.js';

const WORKERS_PER_HOST = 3;
const MAX_THINK_TIME_MS = 60;

/** Cumulative shares of the requests: version checks, then safe requests; the rest is unsafe. */
const VERSION_CHECK_SHARE = 0.1;
const SAFE_REQUEST_BOUND = 0.55;

/** Share of the requests whose callers leave before their response, and when they do. */
const DEPARTURE_SHARE = 0.08;
const MAX_DEPARTURE_MS = 300;

/** Maximum time until a version is in force on a host without faults. */
const APPLY_LIMIT_MS = 2000;

/** Time after the last fault after which a host must meet its time limits again. */
export const RECOVERY_MS = 3000;

/** Times of the most recent faults, updated by the rounds. */
export interface FaultTimes {
  /** Number of the current round if planned stops are its only faults, otherwise 0. */
  plannedStopRound: number;
  /** Time of the last fault of the store. */
  lastStoreFaultAtMs: number;
  /** Time of the last fault of each host, by name. */
  readonly lastHostFaultAtMs: Map<string, number>;
}

/** Highest version that a response of a process has proven to be in force. */
interface ObservedVersion {
  readonly processNumber: number;
  readonly version: number;
}

/** Handle of the running callers. */
export interface PlatformCallers {
  /** Stops the callers and waits for the responses in flight. */
  stop(): Promise<void>;
}

export function startCallers(
  fleet: SoakFleet,
  checker: PlatformChecker,
  faultTimes: Readonly<FaultTimes>,
  random: () => number,
): PlatformCallers {
  let isStopped = false;
  let sentCount = 0;
  const observedVersions = new Map<string, ObservedVersion>();

  const send = async (
    host: SoakHost,
    path: string,
    agent: Agent,
  ): Promise<FleetResponse | undefined> => {
    sentCount += 1;
    const isSafe = !path.startsWith('/book/');
    const request = { id: `s-${sentCount}`, isSafe, host: host.options.name };
    const { plannedStopRound } = faultTimes;
    checker.recordSent(request);
    const startedAtMs = performance.now();
    const method = isSafe ? 'GET' : 'POST';
    const sent = { path, id: request.id, method, body: isSafe ? '' : 'pad 7', agent };
    const response = await sendHttp(host.options.ports[CALL_PORT_INDEX]!, sent).catch(
      (error: NodeJS.ErrnoException) => error.code ?? error.message,
    );
    const isPlannedStopOnly =
      plannedStopRound !== 0 && plannedStopRound === faultTimes.plannedStopRound;
    checker.recordResponse(request, response, performance.now() - startedAtMs, isPlannedStopOnly);
    return typeof response === 'string' ? undefined : response;
  };

  /** Sends a request on a connection of its own and closes it before the response may come. */
  const sendAndLeave = async (host: SoakHost, path: string): Promise<void> => {
    sentCount += 1;
    const isSafe = !path.startsWith('/book/');
    const request = { id: `s-${sentCount}`, isSafe, host: host.options.name };
    checker.recordSent(request);
    const socket = connect(host.options.ports[CALL_PORT_INDEX]!, '127.0.0.1');
    socket.on('error', () => {});
    const headers = `Host: mesh.example\r\nX-Lycheelane-Request-Attempt-Id: ${request.id}`;
    socket.write(`${isSafe ? 'GET' : 'DELETE'} ${path} HTTP/1.1\r\n${headers}\r\n\r\n`);
    await wait(random() * MAX_DEPARTURE_MS);
    socket.destroy();
    checker.recordDeparture(request);
  };

  const isRecovered = ({ options }: SoakHost, nowMs: number): boolean => {
    const hostFaultAtMs = faultTimes.lastHostFaultAtMs.get(options.name) ?? -Infinity;
    return nowMs - Math.max(hostFaultAtMs, faultTimes.lastStoreFaultAtMs) > RECOVERY_MS;
  };

  /** Requests the route that only the latest version contains. */
  const checkVersion = async (host: SoakHost, agent: Agent): Promise<void> => {
    const { version, versionWrittenAtMs } = fleet;
    const { processNumber } = host;
    const { name } = host.options;
    const sentAtMs = performance.now();
    const wasRecovered = isRecovered(host, sentAtMs);
    const response = await send(host, `/v${version}/`, agent);
    if (!response || processNumber !== host.processNumber) return;
    const lastObserved = observedVersions.get(name);
    if (response.status !== 404) {
      if (response.status !== 503) observedVersions.set(name, { processNumber, version });
      return;
    }
    if (lastObserved?.processNumber === processNumber && lastObserved.version >= version) {
      checker.add(
        'version went back in a process',
        `${name}: ${lastObserved.version} to below ${version}`,
      );
    }
    const versionAgeMs = sentAtMs - versionWrittenAtMs;
    if (wasRecovered && isRecovered(host, performance.now()) && versionAgeMs > APPLY_LIMIT_MS) {
      checker.add('version late on a calm host', `${name}: ${version} after ${versionAgeMs} ms`);
    }
  };

  const runWorker = async (host: SoakHost): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      const draw = random();
      const path = draw < SAFE_REQUEST_BOUND ? '/read/' : '/book/';
      if (draw < VERSION_CHECK_SHARE) await checkVersion(host, agent);
      else if (random() < DEPARTURE_SHARE) await sendAndLeave(host, path);
      else await send(host, path, agent);
      await wait(random() * MAX_THINK_TIME_MS);
    }
    agent.destroy();
  };

  const workers = fleet.hosts.flatMap((host) =>
    Array.from({ length: WORKERS_PER_HOST }, () => runWorker(host)),
  );
  return {
    async stop() {
      isStopped = true;
      await Promise.all(workers);
    },
  };
}
