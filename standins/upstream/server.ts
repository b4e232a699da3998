/** HTTP server of the upstream stand-in. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Announcement } from '../../src/generated/types.js';
import { waitMs } from '../../src/utils/backoff.js';
import { formatHostPort } from '../../src/utils/address.js';
import { closeServer, openServer, readBody, sendJson } from '../http.js';
import { startAnnouncer, type AnnouncementCounts } from './announcer.js';
import { DEFAULT_BEHAVIOUR, validateBehaviour, type UpstreamBehaviour } from './behaviour.js';
import { HealthHistory } from './health.js';
import { RunLedger } from './ledger.js';
import { createNestedCaller } from './nested.js';
import { SlotTable } from './slots.js';
import type { UpstreamOptions } from './upstreamOptions.js';
import { createWorker, type WorkCounts } from './work.js';

/** Response body of `GET /control/stats`. */
export interface UpstreamStats extends WorkCounts {
  readonly service: string;
  readonly instanceId: string;
  readonly state: Announcement['state'];
  readonly busy: number;
  readonly slots: number;
  /** Total number of runs. */
  readonly runs: number;
  readonly runsByCall: Readonly<Record<string, number>>;
  readonly runsByKey: Readonly<Record<string, number>>;
  readonly announcements: Readonly<AnnouncementCounts> | undefined;
}

/** A running upstream stand-in. */
export interface Upstream {
  readonly url: string;
  readonly port: number;
  setBehaviour(change: Partial<UpstreamBehaviour>): void;
  getStats(): UpstreamStats;
  /** Announces `leaving`, waits for running requests and closes; false if the limit is exceeded. */
  drain(limitMs: number): Promise<boolean>;
  close(): Promise<void>;
}

/** Time after the node has acknowledged `leaving` in which calls may still arrive. */
const LEAVE_GRACE_MS = 300;

const ANNOUNCE_RETRY_INTERVAL_MS = 100;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const MAX_CONTROL_BODY_BYTES = 65_536;

export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
  const { service, instanceId, slots: slotCount } = options;
  const host = options.host ?? '127.0.0.1';
  const behaviour: UpstreamBehaviour = { ...DEFAULT_BEHAVIOUR };
  const slots = new SlotTable(slotCount);
  const ledger = new RunLedger(options.runLog);
  const health = new HealthHistory();
  const nested = options.callUrl === undefined ? undefined : createNestedCaller(options.callUrl);
  let state: Announcement['state'] = (options.startMs ?? 0) > 0 ? 'starting' : 'ready';

  const getHealth = () => ({ state, busy: slots.busy, slots: slotCount });
  const worker = createWorker({
    options,
    behaviour,
    slots,
    ledger,
    nested,
    isLeaving: () => state === 'leaving',
    onChange: () => health.recordState(getHealth()),
  });

  const setBehaviour = (change: Partial<UpstreamBehaviour>): void => {
    const invalidNames = validateBehaviour(change);
    if (invalidNames.length > 0) {
      throw new RangeError(`unknown or malformed: ${invalidNames.join(', ')}`);
    }
    Object.assign(behaviour, change);
  };

  let announcer: ReturnType<typeof startAnnouncer> | undefined;
  const getStats = (): UpstreamStats => ({
    ...worker.counts,
    ...getHealth(),
    service,
    instanceId,
    runs: ledger.total,
    runsByCall: ledger.getCalls(),
    runsByKey: ledger.getKeys(),
    announcements: announcer?.counts,
  });

  const handleControl = async (request: IncomingMessage, response: ServerResponse) => {
    const route = `${request.method} ${request.url}`;
    if (route === 'GET /control/stats') return sendJson(response, 200, getStats());
    if (route === 'GET /control/behaviour') return sendJson(response, 200, behaviour);
    if (route !== 'PUT /control/behaviour') return sendJson(response, 404, { error: 'unknown' });
    try {
      setBehaviour(
        JSON.parse(((await readBody(request, MAX_CONTROL_BODY_BYTES)) ?? '').toString()),
      );
    } catch (thrown) {
      return sendJson(response, 400, { error: String(thrown) });
    }
    return sendJson(response, 200, behaviour);
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
    const path = request.url ?? '/';
    if (path.startsWith('/control/')) return handleControl(request, response);
    if (path === '/health') {
      const { status, body } = health.getAnswer(getHealth(), behaviour);
      return sendJson(response, status, body);
    }
    const cancelledId = /^\/\.lycheelane\/cancel\/([^/?]+)$/.exec(path)?.[1];
    if (cancelledId === undefined) return worker.serve(request, response);
    if (request.method !== 'POST') return sendJson(response, 405, { error: 'POST only' });
    const isFound = slots.cancel(decodeURIComponent(cancelledId));
    return sendJson(response, isFound ? 202 : 404, { cancelled: isFound });
  };

  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (request, response) => {
    handleRequest(request, response).catch(() => response.destroy());
  });
  const port = await openServer(server, host, options.port ?? 0);
  const buildAnnouncement = (): Omit<Announcement, 'cookie'> => ({
    instanceId,
    service,
    host,
    port,
    slots: slotCount,
    state,
    busy: behaviour.claimedBusy ?? slots.busy,
    running: slots.listRequestIds(),
  });
  if (options.announceUrl !== undefined) {
    const { announceUrl, announceIntervalMs } = options;
    announcer = startAnnouncer(announceUrl, buildAnnouncement, announceIntervalMs);
  }
  const startTimer = setTimeout(() => {
    if (state !== 'starting') return;
    state = 'ready';
    health.recordState(getHealth());
    void announcer?.announceNow();
  }, options.startMs ?? 0);
  health.recordState(getHealth());

  const close = async () => {
    clearTimeout(startTimer);
    await Promise.all([announcer?.stop(), nested?.close(), closeServer(server)]);
    ledger.close();
  };
  const drain = async (limitMs: number): Promise<boolean> => {
    state = 'leaving';
    worker.recordLeaving();
    health.recordState(getHealth());
    const limit = waitMs(limitMs).then(() => false);
    const completeDrain = async () => {
      if (announcer !== undefined) {
        while (!(await announcer.announceNow())) await waitMs(ANNOUNCE_RETRY_INTERVAL_MS);
        await waitMs(LEAVE_GRACE_MS);
      }
      await slots.waitForIdle();
      return true;
    };
    const isDrained = await Promise.race([completeDrain(), limit]);
    await close();
    return isDrained;
  };
  return {
    url: `http://${formatHostPort(host, port)}`,
    port,
    setBehaviour,
    getStats,
    drain,
    close,
  };
}
