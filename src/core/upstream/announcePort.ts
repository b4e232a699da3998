/** HTTP server for the announcements of the upstreams on this host. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { Announcement, AnnouncementAnswer } from '../../generated/types.js';
import { validateAnnouncement } from '../../generated/validators.js';
import type { ConfigStore } from '../../types/interfaces.js';
import { isLoopback, isSameAddress } from '../../utils/address.js';
import { listen } from '../../utils/listen.js';
import type { Logger } from '../../utils/logger.js';
import { decodeFloorCookie, encodeFloorCookie } from './floorCookie.js';
import type { InstanceTable } from './instanceTable.js';

const STEP = 'announce';
/** 10000 running request ids in UUID form take 390 KB. */
const MAX_ANNOUNCEMENT_BYTES = 512 * 1024;
/** Oversized bodies are discarded up to this size, so that the sender receives the 413 response. */
const MAX_DISCARDED_BYTES = 4 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 2000;
/** Allows 64 instances four connections each. */
const MAX_CONNECTIONS = 256;
/** Checks for timed-out requests during one request timeout. */
const CHECKS_PER_TIMEOUT = 4;
const DEFAULT_INTERVAL_MS = 1000;

/** Options of the announce port. */
export interface AnnouncePortOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  /** Address of this host; announcements are accepted from this and loopback addresses only. */
  readonly ownHost: string;
  readonly table: InstanceTable;
  readonly store: Pick<ConfigStore, 'getFloor' | 'getTag' | 'raiseFloor'>;
  readonly logger: Logger;
  /** Time after which an upstream should announce again, in milliseconds. */
  readonly intervalMs?: number;
  /** Time within which a request must have arrived, in milliseconds. */
  readonly requestTimeoutMs?: number;
}

/** A listening announce port. */
export interface AnnouncePort {
  readonly port: number;
  close(): Promise<void>;
}

async function readBody(request: IncomingMessage): Promise<Result<string, StepError>> {
  const peer = request.socket.remoteAddress ?? '';
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_DISCARDED_BYTES) break;
      if (size <= MAX_ANNOUNCEMENT_BYTES) chunks.push(chunk);
    }
  } catch (thrown) {
    return err(toStepError(thrown, STEP, peer));
  }
  if (size > MAX_ANNOUNCEMENT_BYTES) {
    return err(buildError('too-large', STEP, peer, `over ${MAX_ANNOUNCEMENT_BYTES} bytes`));
  }
  return ok(Buffer.concat(chunks).toString('utf8'));
}

function parseAnnouncement(text: string, peer: string): Result<Announcement, StepError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (thrown) {
    return err(buildError('invalid', STEP, peer, 'not JSON', thrown));
  }
  if (validateAnnouncement(value)) return ok(value as Announcement);
  const fault = validateAnnouncement.errors?.[0];
  const message = `${fault?.instancePath || '/'} ${fault?.message ?? 'is not valid'}`;
  return err(buildError('invalid', STEP, peer, message));
}

function toStatus(error: StepError): number {
  if (error.kind === 'too-large') return 413;
  if (error.kind === 'conflict') return 409;
  if (error.kind === 'busy') return 503;
  return 400;
}

function sendJson(response: ServerResponse, status: number, value: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Starts the announce port. Errors: kind `unavailable` when the address cannot be bound. */
export async function startAnnouncePort(
  options: AnnouncePortOptions,
): Promise<Result<AnnouncePort, StepError>> {
  const { table, store, logger, ownHost, intervalMs = DEFAULT_INTERVAL_MS } = options;

  const record = (announcement: Announcement): Result<AnnouncementAnswer, StepError> => {
    const echoed = decodeFloorCookie(announcement.cookie ?? '');
    if (echoed) store.raiseFloor(echoed, `upstream ${announcement.instanceId}`);
    const floor = store.getFloor();
    const tag = store.getTag();
    const cookie = encodeFloorCookie(tag.version > floor.version ? tag : floor);
    return table.record(announcement).map(() => ({ cookie, intervalMs }));
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const peer = request.socket.remoteAddress ?? '';
    if (!isLoopback(peer) && !isSameAddress(peer, ownHost)) {
      sendJson(response, 403, { error: 'announcements come from this host only' });
      return;
    }
    if (request.method !== 'POST' || request.url !== '/v1/announce') {
      sendJson(response, 404, { error: 'POST /v1/announce' });
      return;
    }
    const body = await readBody(request);
    const answer = body.andThen((text) => parseAnnouncement(text, peer)).andThen(record);
    if (answer.isOk()) {
      sendJson(response, 200, answer.value);
      return;
    }
    const { error } = answer;
    const { step, message: reason } = error;
    logger.warn('announcement-refused', { step, peer: error.peer, reason });
    sendJson(response, toStatus(error), { error: error.message });
  };

  const requestTimeoutMs = options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
  const server = createServer({
    requestTimeout: requestTimeoutMs,
    headersTimeout: requestTimeoutMs,
    connectionsCheckingInterval: Math.ceil(requestTimeoutMs / CHECKS_PER_TIMEOUT),
  });
  server.maxConnections = MAX_CONNECTIONS;
  server.on('request', (request, response) => {
    handle(request, response).catch((thrown: unknown) => {
      const { step, peer, message } = toStepError(thrown, STEP, request.socket.remoteAddress ?? '');
      logger.error('announcement-failed', { step, peer, reason: message });
      response.destroy();
    });
  });

  const { host, port } = options;
  const bound = await listen(server, { host, port, step: 'announce.listen', logger });
  return bound.map((boundPort) => ({
    port: boundPort,
    close: () =>
      new Promise<void>((resolve) => {
        table.close();
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  }));
}
