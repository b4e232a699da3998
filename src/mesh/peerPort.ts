/**
 * Serves the calls of other nodes for the local instance. A call that is resumed with the same
 * attempt identifier after a connection failure attaches to the existing run instead of running
 * again.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toStepError } from '../errors.js';
import type { CallMonitor } from './callMonitor.js';
import { answerChangeRequest, type ChangeAnswers, type ChangeReply } from './changeRequests.js';
import {
  answerReport,
  type ReportAnswers,
  type ReportReply,
} from './coordination/reportRequests.js';
import type { EventLog } from './eventLog.js';
import { filterHeaders, getHeader, type HeaderNames } from './headers.js';
import type { BodyTransfers, TransferTurn } from './bodyTransfers.js';
import { wasReset } from './httpConnection.js';
import { buildRefusal } from './instanceClient.js';
import type { ClientConnections } from './memory/clientConnections.js';
import { readBody, type BodyError } from './readBody.js';
import type { LocalRunner } from './localRunner.js';
import type { LoopMonitor } from './loopMonitor.js';
import type { HttpRequest, RunReport, RunResult } from './model.js';
import {
  CLOCK_HEADER,
  COORDINATOR_HEADER,
  encodeClockReading,
  encodeResult,
  METADATA_HEADER,
  NODE_HEADERS,
  normalizeResult,
  RESULT_HEADER,
  SEEN_HEADER,
} from './peerMessages.js';
import { readReceivedCall, type ReceivedCall } from './receivedCall.js';
import type { HeldRequestBody, RequestMemory } from './requestMemory.js';
import type { RevisionExchange } from './revisionExchange.js';
import type { RunTrace } from './runTrace.js';
import { Cancellation } from './signal.js';
import { SuspensionDetector } from './suspensionDetector.js';

/** Time for which a run continues after its connection failed, unless the call is resumed. */
const RESUME_TIMEOUT_MS = 300;

/** Retry time of a call that was held up on its way or given up, in milliseconds. */
const DELAYED_RETRY_MS = 300;

/** Time after the deadline of a call for which its run is retained. */
const RUN_RETENTION_MS = 1000;

/** Idle time after which a connection is closed; longer than the one on the client side. */
const IDLE_TIMEOUT_MS = 60_000;

/** Largest body of a call between nodes, in bytes. */
const MAX_BODY_BYTES = 96 * 1024 * 1024;

/**
 * Header size limit of the HTTP parser, in bytes. It is larger than that of the call port by the
 * headers that nodes add; a call above it would be answered without a result and be unknown.
 */
const MAX_HEAD_BYTES = 192 * 1024;

/** A message of another node. */
interface Arrival {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** True when its body is sent only once this node asks for it. */
  readonly isAnnounced: boolean;
}

interface Run {
  readonly report: Promise<RunReport>;
  /** Returns true once the request has got a slot of the instance. */
  readonly hasStarted: () => boolean;
  readonly cancellation: Cancellation;
  readonly trace: RunTrace;
  /** Number of requests that wait for the report. */
  listeners: number;
  isDelivered: boolean;
}

export interface PeerPortOptions {
  readonly runner: LocalRunner;
  readonly transfers: BodyTransfers;
  readonly processId: string;
  readonly names: HeaderNames;
  readonly seen: RevisionExchange;
  readonly changeAnswers: ChangeAnswers;
  /** Undefined when this node answers no reports. */
  readonly reportAnswers?: ReportAnswers | undefined;
  readonly monitor: CallMonitor;
  readonly loop: Pick<LoopMonitor, 'waitForArrivals'>;
  readonly log: EventLog;
  readonly memory: RequestMemory;
  readonly nodes: ClientConnections;
  readonly detector?: SuspensionDetector;
}

/** Writes a report with the headers in `nodeHeaders`, which are for the other node only. */
function writeReport(
  response: ServerResponse,
  report: RunReport,
  nodeHeaders: readonly string[],
  nodes: ClientConnections,
): void {
  const result = normalizeResult(report.result);
  const added = [RESULT_HEADER, encodeResult(report), ...nodeHeaders];
  if (result.kind !== 'answered') {
    const status = result.kind === 'notRun' ? 503 : 502;
    response.writeHead(status, [...added, 'Content-Length', '0']).end();
    return;
  }
  const { status, headers, body } = result.response;
  const forwarded = filterHeaders(headers, NODE_HEADERS);
  forwarded.push(...added, 'Content-Length', String(body.length));
  response.writeHead(status, forwarded);
  nodes.send(response, body);
}

function buildBodyRefusal(error: BodyError): RunResult {
  return error === 'no-memory'
    ? buildRefusal('overloaded', false, DELAYED_RETRY_MS)
    : buildRefusal('unreachable', false);
}

function addTransit(report: RunReport, transitMs: number | undefined): RunReport {
  const { timing } = report;
  return timing && transitMs !== undefined
    ? { ...report, timing: { ...timing, transitMs } }
    : report;
}

/** Returns the report of a call after an unexpected error, which may have come after its run. */
function buildCrashReport(thrown: unknown): RunReport {
  return { result: { kind: 'unknown', reason: `internal error: ${thrown}` }, load: undefined };
}

async function writeChangeReply(
  response: ServerResponse,
  reply: Exclude<ChangeReply, undefined>,
): Promise<void> {
  if (reply === 'malformed') {
    response.writeHead(400).end();
    return;
  }
  const body = await reply;
  response.writeHead(200, { 'Content-Length': body.length }).end(body);
}

function writeReportReply(response: ServerResponse, reply: ReportReply, reading: string): void {
  if ('status' in reply) {
    response.writeHead(reply.status, { 'Content-Length': 0 }).end();
    return;
  }
  const { text, body } = reply;
  const headers = { [COORDINATOR_HEADER]: text, [CLOCK_HEADER]: reading };
  response.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body);
}

/** Creates the server of the port; the caller binds it. */
export function createPeerPort(options: PeerPortOptions): Server {
  const { runner, transfers, processId, names, seen, changeAnswers, monitor, loop, log, memory } =
    options;
  const { detector = new SuspensionDetector(), reportAnswers } = options;
  const runs = new Map<string, Run>();
  /** Connections that the other node has closed in order. */
  const endedSockets = new WeakSet<Socket>();

  const addRun = (
    { metadata, transitMs }: ReceivedCall,
    start: (cancellation: Cancellation, onStart: () => void) => Promise<RunReport>,
  ): Run => {
    const { attemptId, deadlineAtMs } = metadata;
    const cancellation = new Cancellation();
    let hasStarted = false;
    const report = start(cancellation, () => {
      hasStarted = true;
    }).catch(buildCrashReport);
    const run: Run = {
      report,
      hasStarted: () => hasStarted,
      cancellation,
      trace: monitor.createTrace(metadata, transitMs),
      listeners: 0,
      isDelivered: false,
    };
    void report.then((ended) => run.trace.recordEnd(ended));
    runs.set(attemptId, run);
    const retentionMs = deadlineAtMs - performance.now() + RUN_RETENTION_MS;
    setTimeout(() => runs.delete(attemptId), Math.max(RUN_RETENTION_MS, retentionMs)).unref();
    return run;
  };

  const addResult = (call: ReceivedCall, result: RunResult): Run =>
    addRun(call, () => Promise.resolve({ result, load: runner.getLoad() }));

  /** `hasEnded` is true when the sender has closed the connection, false when it has failed. */
  const detachListener = (target: Run, hasEnded: boolean) => {
    const run = target;
    run.listeners -= 1;
    if (run.isDelivered) return;
    if (run.listeners > 0) return;
    run.trace.recordAbandoned();
    // A queued call loses nothing: its sender may still send it elsewhere.
    if (hasEnded || !run.hasStarted()) run.cancellation.cancel();
    setTimeout(() => {
      if (run.listeners === 0) run.cancellation.cancel();
    }, RESUME_TIMEOUT_MS);
  };

  /** Waits until the body of an announced call may be sent, and asks for it. */
  const awaitTurn = async (
    message: IncomingMessage,
    response: ServerResponse,
    { metadata }: ReceivedCall,
    cancellation: Cancellation,
  ): Promise<TransferTurn> => {
    const result = runner.checkRoom(metadata);
    if (result) return { kind: 'refused', result };
    const runMs = runner.getMeanMs(metadata.route);
    const body = {
      bytes: Number(message.headers['content-length'] ?? 0),
      priority: metadata.priority,
      objectiveAtMs: metadata.objectiveAtMs - runMs,
      deadlineAtMs: metadata.deadlineAtMs - runMs,
      account: metadata.account,
    };
    const turn = await transfers.announce(body, cancellation);
    if (turn.kind === 'granted') response.writeContinue();
    return turn;
  };

  const receive = async (
    { message, response, isAnnounced }: Arrival,
    call: ReceivedCall,
    cancellation: Cancellation,
    onStart: () => void,
    held: HeldRequestBody,
  ): Promise<RunReport> => {
    const buildReport = (result: RunResult) => ({ result, load: runner.getLoad() });
    const turn = isAnnounced ? await awaitTurn(message, response, call, cancellation) : undefined;
    if (turn?.kind === 'refused') return buildReport(turn.result);
    const body = await readBody(message, MAX_BODY_BYTES, held);
    turn?.end();
    if (typeof body === 'string') return buildReport(buildBodyRefusal(body));
    await loop.waitForArrivals();
    if (cancellation.isCancelled()) return buildReport(buildRefusal('cancelled', false));
    const request: HttpRequest = {
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      headers: filterHeaders(message.rawHeaders, NODE_HEADERS),
      body,
    };
    return runner.run(request, call.metadata, cancellation, onStart);
  };

  const getOrCreateRun = (arrival: Arrival, call: ReceivedCall): Run => {
    const { metadata, resumedProcessId, ageRefusal } = call;
    const existing = runs.get(metadata.attemptId);
    if (existing) return existing;
    if (resumedProcessId === undefined) {
      return ageRefusal === undefined
        ? addRun(call, (cancellation, onStart) => {
            const held = memory.open();
            const received = receive(arrival, call, cancellation, onStart, held);
            return received.finally(() => held.release());
          })
        : addResult(call, buildRefusal(ageRefusal, false, DELAYED_RETRY_MS));
    }
    // Only the process that the call was first sent to can tell that it did not arrive. The refusal
    // is retained, so the call is not run if it still arrives on its first connection.
    const result: RunResult =
      resumedProcessId === processId
        ? buildRefusal('unreachable', false)
        : { kind: 'unknown', reason: 'the process was replaced' };
    return addResult(call, result);
  };

  const serve = async (arrival: Arrival): Promise<void> => {
    const { message, response } = arrival;
    const receivedAtMs = performance.now();
    const changeReply = answerChangeRequest(message.rawHeaders, changeAnswers);
    if (changeReply !== undefined) {
      message.resume();
      await writeChangeReply(response, changeReply);
      return;
    }
    // After a suspension the clock is another one, on which no earlier message has its time.
    const clockId = `${processId}.${detector.count()}`;
    const reportReply =
      reportAnswers && answerReport(message, reportAnswers, clockId, receivedAtMs);
    if (reportReply !== undefined) {
      const reply = await reportReply;
      const reading = { clockId, receivedAtMs, respondedAtMs: performance.now() };
      writeReportReply(response, reply, encodeClockReading(reading));
      return;
    }
    const receivedRevisions = getHeader(message.rawHeaders, SEEN_HEADER);
    if (getHeader(message.rawHeaders, METADATA_HEADER) === undefined && receivedRevisions) {
      message.resume();
      seen.apply(receivedRevisions);
      response.writeHead(204, { [SEEN_HEADER]: seen.formatReport(receivedAtMs) }).end();
      return;
    }
    const receiver = { clockId, requestIdHeader: names.requestId };
    const call = readReceivedCall(message.rawHeaders, receiver, receivedAtMs);
    if (!call) {
      response.writeHead(400).end();
      return;
    }
    seen.apply(receivedRevisions);
    const run = getOrCreateRun(arrival, call);
    // Tells the node that resumes a call that this process is alive, since the run may take long.
    if (call.resumedProcessId !== undefined) response.writeProcessing();
    run.listeners += 1;
    run.trace.recordAttached();
    let isDetached = false;
    response.once('close', () => {
      if (!response.writableFinished && !isDetached) {
        isDetached = true;
        detachListener(run, endedSockets.has(message.socket));
      }
    });
    const report = await run.report;
    if (isDetached) return;
    const reading = { clockId, receivedAtMs, respondedAtMs: performance.now() };
    const nodeHeaders = [CLOCK_HEADER, encodeClockReading(reading)];
    // The body of a refused call is not read, and the next request could not be told from it.
    if (!message.complete && arrival.isAnnounced) nodeHeaders.push('Connection', 'close');
    else message.resume();
    if (receivedRevisions !== undefined) {
      nodeHeaders.push(SEEN_HEADER, seen.formatReport(performance.now()));
    }
    writeReport(response, addTransit(report, call.transitMs), nodeHeaders, options.nodes);
    response.once('finish', () => {
      isDetached = true;
      run.isDelivered = true;
    });
  };

  /** Ends a message that cannot be answered, whose sender then gets no response. */
  const serveOrEnd = (arrival: Arrival): void => {
    if (!options.nodes.admit(arrival.message, arrival.response)) return;
    serve(arrival).catch((thrown: unknown) => {
      const { step, peer, message } = toStepError(thrown, 'peers.serve', 'peer');
      log.write('error', 'peer-message-crashed', { step, peer, reason: message });
      arrival.response.destroy();
    });
  };

  const server = createServer(
    { keepAlive: true, noDelay: true, maxHeaderSize: MAX_HEAD_BYTES },
    (message, response) => serveOrEnd({ message, response, isAnnounced: false }),
  );
  options.nodes.observe(server);
  server.on('connection', (socket: Socket) => {
    socket.once('end', () => {
      if (!wasReset(socket)) endedSockets.add(socket);
    });
  });
  server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => {
    serveOrEnd({ message, response, isAnnounced: true });
  });
  server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  return server;
}
