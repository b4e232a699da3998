/**
 * Sends calls to the nodes of other instances. A call whose connection fails or does not respond is
 * resumed on a new connection with the same attempt identifier, so that its response is not lost.
 */
import type { Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import type { PeerAddress } from '../types/interfaces.js';
import { formatHostPort } from '../utils/address.js';
import { waitMs } from '../utils/backoff.js';
import {
  decodeConfigAnswer,
  encodeConfigRequest,
  type ConfigAnswer,
  type ConfigRequest,
} from './configAnswers.js';
import { filterHeaders, getHeader } from './headers.js';
import { buildRefusal } from './instanceClient.js';
import type { HttpConnection } from './httpConnection.js';
import { startInactivityTimer } from './inactivityTimer.js';
import {
  decodeNodesAnswer,
  encodeNodesRequest,
  type NodesAnswer,
  type NodesRequest,
} from './nodeAnswers.js';
import { ClockOffset } from './clockOffset.js';
import { ConnectionPool } from './connectionPool.js';
import type { CoordinatorAnswer, CoordinatorReport } from './coordination/model.js';
import { decodeAnswer, encodeReport } from './coordination/reportCodec.js';
import type { CallMetadata, HttpRequest, HttpResponse, RefusalReason, RunReport } from './model.js';
import {
  CLOCK_HEADER,
  CONFIG_HEADER,
  COORDINATOR_HEADER,
  decodeClockReading,
  decodeResult,
  encodeMetadata,
  encodeSentTime,
  NODE_HEADERS,
  NODES_HEADER,
  RESULT_HEADER,
  SEEN_HEADER,
  METADATA_HEADER,
} from './peerMessages.js';
import type { ResponseMemory } from './responseMemory.js';
import type { RevisionExchange } from './revisionExchange.js';
import { Cancellation } from './signal.js';
import { SuspensionDetector } from './suspensionDetector.js';

/** Allows several round trips between data centres of one region. */
const CONNECT_TIMEOUT_MS = 250;

/** Idle time after which a connection is not reused, because it may be half-open. */
const MAX_IDLE_MS = 8000;

/** Time without a response after which a call is probed on a second connection. */
const PROBE_DELAY_MS = 500;

/** Time within which a probed node must send its interim response. */
const PROBE_TIMEOUT_MS = 250;

/** Time after the deadline of a call for which its result is accepted. */
const DEADLINE_GRACE_MS = 150;

/** Time without data after the wait of a request for changes. */
const POLL_ANSWER_TIMEOUT_MS = 300;

/** Time within which a coordinator answers a report; later answers are not used. */
const REPORT_TIMEOUT_MS = 250;

/** Size from which a body is sent only once the node has asked for it. */
const MIN_ANNOUNCED_BYTES = 16 * 1024;

/** Distinguishes the second attempt at a node, after the first one told its clock. */
const SECOND_ATTEMPT_SUFFIX = '.1';

const EMPTY_BODY = Buffer.alloc(0);

/** What the sending node observed of the way of a call. */
export interface SendTrace {
  /** Time until the call had a connection; undefined when it got none. */
  readonly connectMs: number | undefined;
  /** Bytes of the call that still waited in its connections when it ended. */
  readonly unsentBytes: number;
}

/** Result of a call to a node. */
export interface PeerReport extends RunReport {
  readonly sendTrace?: SendTrace;
  /** False when the node did not send a response. */
  readonly hasResponded: boolean;
}

interface PollOptions {
  readonly step: string;
  /** Header that carries the request. */
  readonly header: string;
  readonly text: string;
  /** Time for which the node may hold its answer back. */
  readonly waitMs: number;
  readonly cancellation: Cancellation | undefined;
}

interface SendOptions {
  /** Called when the node does not respond to a probe while the call is in progress. */
  readonly onUnresponsive: () => void;
  /** True when the call may be sent to another instance. */
  readonly canRetry: () => boolean;
  readonly request: HttpRequest;
  readonly metadata: CallMetadata;
  readonly processId: string;
  readonly cancellation: Cancellation;
}

interface SendState extends SendOptions {
  readonly connections: Set<HttpConnection>;
  readonly startedAtMs: number;
  connectMs: number | undefined;
  /** True once the last part of the call was written to a connection; resuming it sends none. */
  wasSent: boolean;
  isSettled: boolean;
}

/**
 * Returns true when the call was not run for a reason that a second attempt takes away: its age
 * could not be told, or it was queued when its connection was reset.
 */
function canAttemptAgain({ result }: PeerReport): boolean {
  if (result.kind !== 'notRun') return false;
  return result.reason === 'clock-unknown' || result.reason === 'cancelled';
}

function isAnyResponse(): boolean {
  return true;
}

function countUnsentBytes(connections: ReadonlySet<HttpConnection>): number {
  let bytes = 0;
  for (const connection of connections) bytes += connection.countUnsentBytes();
  return bytes;
}

function buildUnknownReport(reason: string): PeerReport {
  return { result: { kind: 'unknown', reason }, load: undefined, hasResponded: false };
}

/**
 * Builds the report of a call that ends without a response. The node cannot have run a call of
 * which no connection got the last part, and cannot run it later: it has no attempt to resume, and
 * the call is not sent on a connection that opens after its end.
 */
function buildEndReport(
  { wasSent }: SendState,
  reason: string,
  refusalReason: RefusalReason,
): PeerReport {
  if (wasSent) return buildUnknownReport(reason);
  return { result: buildRefusal(refusalReason, false), load: undefined, hasResponded: false };
}

/** Client for the calls to one node. */
export class PeerCalls {
  private readonly pool: ConnectionPool;

  private readonly host: string;

  private readonly clock: ClockOffset;

  /** Connections of the calls in progress. */
  private readonly active = new Set<HttpConnection>();

  constructor(
    address: PeerAddress,
    private readonly seen: RevisionExchange,
    detector = new SuspensionDetector(),
    /** Bounds the responses that are read at the same time; undefined for no bound. */
    private readonly memory?: ResponseMemory,
  ) {
    this.clock = new ClockOffset(detector);
    this.host = formatHostPort(address.host, address.port);
    this.pool = new ConnectionPool(address);
  }

  /**
   * Sends a call to the process `processId`. Never rejects. `onUnresponsive` is called when the
   * node does not respond to a probe. `canRetry` tells whether the call may be sent to another
   * instance, which is when silence ends it; without a retry only the deadline does.
   */
  async send(
    request: HttpRequest,
    metadata: CallMetadata,
    processId: string,
    cancellation: Cancellation,
    onUnresponsive: () => void,
    canRetry: () => boolean = () => metadata.isIdempotent,
  ): Promise<PeerReport> {
    const options = { request, processId, cancellation, onUnresponsive, canRetry };
    const report = await this.sendAttempt({ ...options, metadata });
    if (!canAttemptAgain(report) || cancellation.isCancelled()) return report;
    // The node would refuse it, and without a response its outcome would not be known.
    if (performance.now() >= metadata.deadlineAtMs) return report;
    // The refusal holds for the first identifier from now on.
    const attemptId = `${metadata.attemptId}${SECOND_ATTEMPT_SUFFIX}`;
    return this.sendAttempt({ ...options, metadata: { ...metadata, attemptId } });
  }

  /**
   * Requests changes of the configuration; undefined when the node gives no answer. `onInvalid` is
   * called when it gives one that cannot be used.
   */
  requestConfig(
    request: ConfigRequest,
    onInvalid: (error: StepError) => void,
    cancellation?: Cancellation,
  ): Promise<ConfigAnswer | undefined> {
    const { waitMs: pollMs } = request;
    const message = { header: CONFIG_HEADER, text: encodeConfigRequest(request) };
    const poll = { step: 'config.request', ...message, waitMs: pollMs, cancellation };
    return this.poll(poll, decodeConfigAnswer, onInvalid);
  }

  /** Requests changes of the node records, as `requestConfig` does those of the configuration. */
  requestNodes(
    request: NodesRequest,
    onInvalid: (error: StepError) => void,
    cancellation?: Cancellation,
  ): Promise<NodesAnswer | undefined> {
    const { waitMs: pollMs } = request;
    const message = { header: NODES_HEADER, text: encodeNodesRequest(request) };
    const poll = { step: 'nodes.request', ...message, waitMs: pollMs, cancellation };
    return this.poll(poll, decodeNodesAnswer, onInvalid);
  }

  /**
   * Asks the node which changes it has seen, and applies its report. Resolves once it has
   * responded or failed to.
   */
  async exchangeRevisions(): Promise<void> {
    const requestedAtMs = performance.now();
    const headers = [SEEN_HEADER, this.seen.format()];
    const response = await this.get(headers, { waitMs: 0, cancellation: undefined });
    if (response) this.seen.apply(getHeader(response.headers, SEEN_HEADER), requestedAtMs);
    // The other idle connections may have gone silent as well.
    else this.pool.close();
  }

  /**
   * Sends a report to the node as coordinator; undefined without an answer in time. `onInvalid` is
   * called when the answer cannot be used.
   */
  async sendReport(
    report: CoordinatorReport,
    onInvalid: (error: StepError) => void,
  ): Promise<CoordinatorAnswer | undefined> {
    const cancellation = new Cancellation();
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => {
        resolve(undefined);
        cancellation.cancel();
        // The other idle connections may have gone silent as well.
        this.pool.close();
      }, REPORT_TIMEOUT_MS);
    });
    const answer = await Promise.race([
      this.exchangeReport(report, cancellation, onInvalid),
      timeout,
    ]);
    clearTimeout(timer);
    return answer;
  }

  /** Returns the bytes of the calls in progress that wait in their connections. */
  countUnsentBytes(): number {
    return countUnsentBytes(this.active);
  }

  close(): void {
    this.pool.close();
  }

  private async exchangeReport(
    report: CoordinatorReport,
    cancellation: Cancellation,
    onInvalid: (error: StepError) => void,
  ): Promise<CoordinatorAnswer | undefined> {
    const sentAtMs = performance.now();
    const sentTime = encodeSentTime(this.clock.convert(sentAtMs));
    const { text, body } = await encodeReport(report);
    const headers = [COORDINATOR_HEADER, text, CLOCK_HEADER, sentTime];
    const response = await this.get(headers, { waitMs: 0, cancellation }, body);
    // A node that is starting or stopping refuses with another status.
    if (response?.status !== 200 || cancellation.isCancelled()) return undefined;
    this.recordClock(response.headers, sentAtMs);
    const encoding = getHeader(response.headers, COORDINATOR_HEADER);
    const answer = await decodeAnswer(encoding, response.body, this.host);
    if (answer.isErr()) onInvalid(answer.error);
    return answer.isOk() ? answer.value : undefined;
  }

  private async poll<Answer>(
    { step, header, text, ...wait }: PollOptions,
    decode: (body: Buffer, peer: string) => Promise<Result<Answer, StepError>>,
    onInvalid: (error: StepError) => void,
  ): Promise<Answer | undefined> {
    const response = await this.get([header, text], wait);
    if (!response) return undefined;
    const { status, body } = response;
    if (status !== 200) {
      onInvalid(buildError('refused', step, this.host, `status ${status}`));
      return undefined;
    }
    const answer = await decode(body, this.host);
    if (answer.isErr()) onInvalid(answer.error);
    return answer.isOk() ? answer.value : undefined;
  }

  /** Sends a message that is no call; undefined without a response. */
  private async get(
    messageHeaders: readonly string[],
    { waitMs: pollMs, cancellation }: Pick<PollOptions, 'waitMs' | 'cancellation'>,
    body: Buffer = EMPTY_BODY,
  ): Promise<HttpResponse | undefined> {
    const connection =
      this.pool.takeIdle(MAX_IDLE_MS) ?? (await this.pool.connect(CONNECT_TIMEOUT_MS));
    if (typeof connection === 'string') return undefined;
    if (cancellation?.isCancelled()) {
      this.pool.release(connection);
      return undefined;
    }
    const stopTimer = startInactivityTimer(connection, pollMs, POLL_ANSWER_TIMEOUT_MS);
    let hasEnded = false;
    cancellation?.onCancel(() => {
      if (!hasEnded) connection.abort('cancelled');
    });
    const headers = ['Host', this.host, ...messageHeaders];
    const method = body.length > 0 ? 'POST' : 'GET';
    const message = { method, path: '/', headers, body };
    const result = await connection.exchange(message, isAnyResponse);
    hasEnded = true;
    stopTimer();
    if (result.kind !== 'response') return undefined;
    this.pool.release(connection);
    return result.response;
  }

  private sendAttempt(options: SendOptions): Promise<PeerReport> {
    const { metadata, cancellation } = options;
    return new Promise((resolve) => {
      const state: SendState = {
        ...options,
        connections: new Set(),
        startedAtMs: performance.now(),
        connectMs: undefined,
        wasSent: false,
        isSettled: false,
      };
      const timers: NodeJS.Timeout[] = [];
      const settle = (report: PeerReport) => {
        if (state.isSettled) return;
        state.isSettled = true;
        for (const timer of timers) clearTimeout(timer);
        const unsentBytes = countUnsentBytes(state.connections);
        for (const connection of state.connections) connection.end('settled');
        resolve({ ...report, sendTrace: { connectMs: state.connectMs, unsentBytes } });
      };
      const remainingMs = metadata.deadlineAtMs - performance.now();
      const timeoutMs = Math.max(0, remainingMs) + DEADLINE_GRACE_MS;
      const expire = () => settle(buildEndReport(state, 'deadline', 'deadline'));
      timers.push(setTimeout(expire, timeoutMs));
      const probe = () => {
        void this.probe(state).then((report) => report && settle(report));
      };
      timers.push(setTimeout(probe, PROBE_DELAY_MS));
      cancellation.onCancel(() => settle(buildEndReport(state, 'cancelled', 'cancelled')));
      void this.sendFirst(state).then(settle);
    });
  }

  private async sendFirst(pending: SendState): Promise<PeerReport> {
    const state = pending;
    const connection =
      this.pool.takeIdle(MAX_IDLE_MS) ?? (await this.pool.connect(CONNECT_TIMEOUT_MS));
    if (typeof connection === 'string') {
      return {
        result: buildRefusal('unreachable', false),
        load: undefined,
        hasResponded: false,
      };
    }
    if (state.isSettled) {
      this.pool.release(connection);
      return buildUnknownReport('cancelled');
    }
    state.connectMs = performance.now() - state.startedAtMs;
    const first = await this.exchange(state, connection, undefined);
    if (first || state.isSettled) return first ?? buildUnknownReport('settled');
    return (await this.resume(state)) ?? buildEndReport(state, 'connection lost', 'unreachable');
  }

  /**
   * Resumes a call without a response on a second connection, which shows whether its node is alive
   * and may still be running it. If the node does not respond, a call that can be retried elsewhere
   * ends here.
   */
  private async probe(state: SendState): Promise<PeerReport | undefined> {
    let isAlive = false;
    const resumed = this.resume(state, () => {
      isAlive = true;
      // The first connection may be half-open, and the idle ones with it.
      this.pool.close();
    });
    await waitMs(CONNECT_TIMEOUT_MS + PROBE_TIMEOUT_MS);
    if (isAlive || state.isSettled) return resumed;
    state.onUnresponsive();
    return state.canRetry() ? buildEndReport(state, 'silent', 'unreachable') : resumed;
  }

  /** Resumes a call on a new connection; undefined when the node cannot be reached. */
  private async resume(state: SendState, onInterim?: () => void): Promise<PeerReport | undefined> {
    const connection = await this.pool.connect(CONNECT_TIMEOUT_MS);
    if (typeof connection === 'string') return undefined;
    if (state.isSettled) {
      this.pool.release(connection);
      return undefined;
    }
    return this.exchange(state, connection, state.processId, onInterim);
  }

  private async exchange(
    pending: SendState,
    connection: HttpConnection,
    resumedProcessId: string | undefined,
    onInterim?: () => void,
  ): Promise<PeerReport | undefined> {
    const state = pending;
    const { request, metadata } = state;
    state.connections.add(connection);
    this.active.add(connection);
    const sentAtMs = performance.now();
    const encoded = encodeMetadata(metadata, resumedProcessId, sentAtMs);
    const sentTime = encodeSentTime(this.clock.convert(sentAtMs));
    const headers = [...request.headers, METADATA_HEADER, encoded, CLOCK_HEADER, sentTime];
    const seen = this.seen.formatIfDue(sentAtMs);
    if (seen !== undefined) headers.push(SEEN_HEADER, seen);
    const body = resumedProcessId === undefined ? request.body : EMPTY_BODY;
    const result = await connection.exchange({ ...request, headers, body }, isAnyResponse, {
      onInterim,
      memory: this.memory,
      isAnnounced: body.length >= MIN_ANNOUNCED_BYTES,
      onSend() {
        if (resumedProcessId === undefined) state.wasSent = true;
      },
    });
    state.connections.delete(connection);
    this.active.delete(connection);
    if (result.kind !== 'response') return undefined;
    this.pool.release(connection);
    const { response } = result;
    this.recordClock(response.headers, sentAtMs);
    this.seen.apply(getHeader(response.headers, SEEN_HEADER), sentAtMs);
    const forwarded = { ...response, headers: filterHeaders(response.headers, NODE_HEADERS) };
    const decoded = decodeResult(getHeader(response.headers, RESULT_HEADER), forwarded);
    if (!decoded) return buildUnknownReport('unreadable result of a node');
    return { ...decoded, hasResponded: true };
  }

  private recordClock(headers: readonly string[], sentAtMs: number): void {
    const reading = decodeClockReading(getHeader(headers, CLOCK_HEADER));
    if (reading) this.clock.record(reading, sentAtMs, performance.now());
  }
}
