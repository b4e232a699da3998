/** Callers of the soak. They keep their connections open until the process at the end is gone. */
import { Agent } from 'node:http';
import { sendHttp, wait, type FleetResponse } from '../../standins/mesh/meshFleet.js';
import type { PlatformChecker } from './checker.js';
import type { SoakFleet, SoakHost } from './fleet.js';

const WORKERS_PER_HOST = 3;
const MAX_THINK_MS = 60;

/** Time within which a version is in force on a host that nothing disturbs. */
const APPLY_MS = 2000;

/** Time after a disturbance from which a host is held to its bounds. */
export const CALM_MS = 3000;

/** What disturbs the fleet at the moment, kept by the rounds. */
export interface Disturbance {
  /** Number of a round with planned stops only; 0 in any other. */
  plannedRound: number;
  /** Instant at which the store was disturbed last. */
  storeAtMs: number;
  /** Instants at which hosts were disturbed last, by name. */
  readonly hostsAtMs: Map<string, number>;
}

/** Latest version that a process has shown. */
interface ShownVersion {
  readonly processNumber: number;
  readonly version: number;
}

/** Running callers. */
export interface PlatformCallers {
  /** Ends the callers and waits for their last responses. */
  stop(): Promise<void>;
}

/** Starts the callers of all hosts. */
export function startCallers(
  fleet: SoakFleet,
  checker: PlatformChecker,
  disturbance: Readonly<Disturbance>,
  random: () => number,
): PlatformCallers {
  let isStopped = false;
  let count = 0;
  const shown = new Map<string, ShownVersion>();

  const send = async (
    host: SoakHost,
    path: string,
    agent: Agent,
  ): Promise<FleetResponse | undefined> => {
    count += 1;
    const isSafe = !path.startsWith('/book/');
    const request = { id: `s-${count}`, isSafe, host: host.options.name };
    const { plannedRound } = disturbance;
    checker.recordSent(request);
    const startedAtMs = performance.now();
    const method = isSafe ? 'GET' : 'POST';
    const sent = { path, id: request.id, method, body: isSafe ? '' : 'pad 7', agent };
    const response = await sendHttp(host.options.ports[0]!, sent).catch(
      (error: NodeJS.ErrnoException) => error.code ?? error.message,
    );
    const isPlanned = plannedRound !== 0 && plannedRound === disturbance.plannedRound;
    checker.recordResponse(request, response, performance.now() - startedAtMs, isPlanned);
    return typeof response === 'string' ? undefined : response;
  };

  const isCalm = ({ options }: SoakHost, nowMs: number): boolean => {
    const hostAtMs = disturbance.hostsAtMs.get(options.name) ?? -Infinity;
    return nowMs - Math.max(hostAtMs, disturbance.storeAtMs) > CALM_MS;
  };

  /** Asks for the route that only the latest version has. */
  const checkVersion = async (host: SoakHost, agent: Agent): Promise<void> => {
    const { version, versionAtMs } = fleet;
    const { processNumber } = host;
    const { name } = host.options;
    const sentAtMs = performance.now();
    const wasCalm = isCalm(host, sentAtMs);
    const response = await send(host, `/v${version}/`, agent);
    if (!response || processNumber !== host.processNumber) return;
    const known = shown.get(name);
    if (response.status !== 404) {
      if (response.status !== 503) shown.set(name, { processNumber, version });
      return;
    }
    if (known?.processNumber === processNumber && known.version >= version) {
      checker.add(
        'version went back in a process',
        `${name}: ${known.version} to below ${version}`,
      );
    }
    const lateMs = sentAtMs - versionAtMs;
    if (wasCalm && isCalm(host, performance.now()) && lateMs > APPLY_MS) {
      checker.add('version late on a calm host', `${name}: ${version} after ${lateMs} ms`);
    }
  };

  const work = async (host: SoakHost): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      const draw = random();
      if (draw < 0.1) await checkVersion(host, agent);
      else await send(host, draw < 0.55 ? '/read/' : '/book/', agent);
      await wait(random() * MAX_THINK_MS);
    }
    agent.destroy();
  };

  const workers = fleet.hosts.flatMap((host) =>
    Array.from({ length: WORKERS_PER_HOST }, () => work(host)),
  );
  return {
    async stop() {
      isStopped = true;
      await Promise.all(workers);
    },
  };
}
