/**
 * Serves the calls of other nodes for the local instance. A call that comes again under the same
 * identifier, after its connection broke, joins the run that is under way instead of running twice.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { filterHeaders, getHeader, type HeaderNames } from './headers.js';
import { buildRefusal } from './instanceClient.js';
import { readBody } from './readBody.js';
import type { LocalRunner } from './localRunner.js';
import type { CallMetadata, HttpRequest, RunReport, RunResult } from './model.js';
import {
  decodeTerms,
  encodeResult,
  NODE_HEADERS,
  RESULT_HEADER,
  SEEN_HEADER,
  TERMS_HEADER,
  type ReceivedTerms,
} from './peerMessages.js';
import type { SeenRevisions } from './seenRevisions.js';
import { Cancellation } from './signal.js';

/** How long a run goes on after the connection of its node broke, unless it is taken up again. */
const RESUME_WAIT_MS = 300;

/** How long a call is remembered beyond its deadline. */
const REMEMBER_MS = 1000;

/** Idle time after which a connection of another node is closed; nodes close theirs earlier. */
const IDLE_TIMEOUT_MS = 60_000;

/** Largest body of a call between nodes, in bytes. */
const MAX_BODY_BYTES = 96 * 1024 * 1024;

interface Run {
  readonly report: Promise<RunReport>;
  readonly cancellation: Cancellation;
  listeners: number;
  isDelivered: boolean;
}

/** What the port needs. */
export interface PeerPortOptions {
  readonly runner: LocalRunner;
  readonly processId: string;
  readonly names: HeaderNames;
  readonly seen: SeenRevisions;
}

function writeReport(response: ServerResponse, report: RunReport, seen: string | undefined): void {
  const { result } = report;
  const encoded = encodeResult(report);
  if (result.kind !== 'answered') {
    const status = result.kind === 'notRun' ? 503 : 502;
    const headers = [RESULT_HEADER, encoded, 'Content-Length', '0'];
    if (seen !== undefined) headers.push(SEEN_HEADER, seen);
    response.writeHead(status, headers).end();
    return;
  }
  const { status, headers, body } = result.response;
  const passed = filterHeaders(headers, NODE_HEADERS);
  passed.push(RESULT_HEADER, encoded, 'Content-Length', String(body.length));
  if (seen !== undefined) passed.push(SEEN_HEADER, seen);
  response.writeHead(status, passed);
  response.end(body);
}

/** Creates the server of the port; the caller binds it. */
export function createPeerPort({ runner, processId, names, seen }: PeerPortOptions): Server {
  const runs = new Map<string, Run>();

  const addRun = (
    { attemptId, deadlineAtMs }: CallMetadata,
    start: (cancellation: Cancellation) => Promise<RunReport>,
  ): Run => {
    const cancellation = new Cancellation();
    const run: Run = {
      report: start(cancellation),
      cancellation,
      listeners: 0,
      isDelivered: false,
    };
    runs.set(attemptId, run);
    const keepMs = deadlineAtMs - performance.now() + REMEMBER_MS;
    setTimeout(() => runs.delete(attemptId), Math.max(REMEMBER_MS, keepMs)).unref();
    return run;
  };

  const leaveRun = (left: Run) => {
    const run = left;
    run.listeners -= 1;
    if (run.isDelivered) return;
    setTimeout(() => {
      if (run.listeners === 0) run.cancellation.cancel();
    }, RESUME_WAIT_MS);
  };

  const obtainRun = (request: HttpRequest, { terms, resume }: ReceivedTerms): Run => {
    const known = runs.get(terms.attemptId);
    if (known) return known;
    if (resume === undefined) {
      return addRun(terms, (cancellation) => runner.run(request, terms, cancellation));
    }
    // Only the process that got the call first can tell that it did not come. Remembered as
    // refused, the call is not run either when its first connection still brings it.
    const result: RunResult =
      resume === processId
        ? buildRefusal('unreachable', false)
        : { kind: 'unknown', reason: 'the process was replaced' };
    return addRun(terms, () => Promise.resolve({ result, load: runner.getLoad() }));
  };

  const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const receivedAtMs = performance.now();
    const received = decodeTerms(
      getHeader(message.rawHeaders, TERMS_HEADER),
      getHeader(message.rawHeaders, names.requestId) ?? '',
      receivedAtMs,
    );
    if (!received) {
      response.writeHead(400).end();
      return;
    }
    const told = getHeader(message.rawHeaders, SEEN_HEADER);
    seen.apply(told);
    const body = await readBody(message, MAX_BODY_BYTES);
    if (typeof body === 'string') {
      response.destroy();
      return;
    }
    const run = obtainRun(
      {
        method: message.method ?? 'GET',
        path: message.url ?? '/',
        headers: filterHeaders(message.rawHeaders, NODE_HEADERS),
        body,
      },
      received,
    );
    // Tells a node that looks a call up that this process is alive; the run may take long.
    if (received.resume !== undefined) response.writeProcessing();
    run.listeners += 1;
    let hasLeft = false;
    response.once('close', () => {
      if (!response.writableFinished && !hasLeft) {
        hasLeft = true;
        leaveRun(run);
      }
    });
    const report = await run.report;
    if (hasLeft) return;
    writeReport(response, report, told === undefined ? undefined : seen.format());
    response.once('finish', () => {
      hasLeft = true;
      run.isDelivered = true;
    });
  };

  const server = createServer({ keepAlive: true, noDelay: true }, (message, response) => {
    void serve(message, response);
  });
  server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  return server;
}
