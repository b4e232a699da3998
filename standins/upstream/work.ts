/** Request handling of the upstream stand-in: admission, execution, faults and nested calls. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { waitMs } from '../../src/utils/backoff.js';
import { readBody, sendJson } from '../http.js';
import { createRandom } from '../random.js';
import { buildAnswer } from './answer.js';
import type { UpstreamBehaviour } from './behaviour.js';
import type { RunLedger } from './ledger.js';
import { parseDepth, type createNestedCaller, type NestedOutcome } from './nested.js';
import type { RunningRequest, SlotTable } from './slots.js';
import type { UpstreamOptions } from './upstreamOptions.js';

/** Counts of requests. */
export interface WorkCounts {
  arrived: number;
  /** Requests refused because all slots were busy or `shedAll` was set. */
  shed: number;
  /** Requests that arrived while all slots were busy. */
  overSlots: number;
  cancelled: number;
  deadlinePassed: number;
  /** Requests whose connection was closed before the answer. */
  callerGone: number;
  /** Requests that arrived after the drain had started. */
  arrivedWhileLeaving: number;
  /** Time from the start of the drain to the latest arrival, in milliseconds. */
  lastArrivalAfterLeavingMs: number;
}

/** Dependencies of the request handling. */
export interface WorkContext {
  readonly options: UpstreamOptions;
  readonly behaviour: Readonly<UpstreamBehaviour>;
  readonly slots: SlotTable;
  readonly ledger: RunLedger;
  readonly nested: ReturnType<typeof createNestedCaller> | undefined;
  isLeaving(): boolean;
  onChange(): void;
}

const MAX_BODY_BYTES = 16 * 1024 * 1024;

const MAX_ANSWER_LENGTH = 16 * 1024 * 1024;

const DEFAULT_ANSWER_LENGTH = 64;

/** Upper limit of the execution time, as a multiple of its mean. */
const MAX_WORK_FACTOR = 8;

/** Factor added to the execution time at the start; it decreases to 0 over the warm-up time. */
const COLD_START_EXTRA_FACTOR = 2;

/** Largest delay that a Node.js timer supports. */
const MAX_TIMER_MS = 2 ** 31 - 1;

function getHeader(request: IncomingMessage, name: string): string {
  return request.headers[name]?.toString() ?? '';
}

function parseLength(request: IncomingMessage): number {
  const query = new URL(request.url ?? '/', 'http://upstream').searchParams.get('length');
  const text = getHeader(request, 'x-answer-length') || query || String(DEFAULT_ANSWER_LENGTH);
  return /^\d{1,9}$/.test(text) ? Math.min(Number(text), MAX_ANSWER_LENGTH) : DEFAULT_ANSWER_LENGTH;
}

function sendText(response: ServerResponse, status: number, text: string, retry?: string): void {
  if (response.destroyed) return;
  const body = Buffer.from(text);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...(retry === undefined ? {} : { 'lycheelane-retry': retry }),
  });
  response.end(body);
}

/** Sends half of the body, with the full length or chunked, and closes the connection. */
function sendTruncated(response: ServerResponse, text: string, isChunked: boolean): void {
  const body = Buffer.from(text);
  const framing = isChunked ? {} : { 'content-length': body.length };
  response.writeHead(200, { 'content-type': 'application/json', ...framing });
  response.write(body.subarray(0, Math.floor(body.length / 2)), () => response.destroy());
}

/** Creates the handler of work requests. */
export function createWorker(context: WorkContext) {
  const { options, behaviour, slots, ledger, nested } = context;
  const random = createRandom(options.seed);
  const startedMs = performance.now();
  let leavingStartedAtMs = 0;
  const counts: WorkCounts = {
    arrived: 0,
    shed: 0,
    overSlots: 0,
    cancelled: 0,
    deadlinePassed: 0,
    callerGone: 0,
    arrivedWhileLeaving: 0,
    lastArrivalAfterLeavingMs: 0,
  };

  const shouldInject = (percent: number) => percent > 0 && random() * 100 < percent;

  const computeWorkMs = (): number => {
    const coldMs = options.coldStartMs ?? 0;
    const ageMs = performance.now() - startedMs;
    const coldFactor = ageMs < coldMs ? 1 + COLD_START_EXTRA_FACTOR * (1 - ageMs / coldMs) : 1;
    const sampledMs = -Math.log(1 - random()) * options.workMs;
    return Math.min(sampledMs, options.workMs * MAX_WORK_FACTOR) * coldFactor + behaviour.latencyMs;
  };

  const shed = (response: ServerResponse): void => {
    counts.shed += 1;
    const proof = behaviour.shedProof ? { 'lycheelane-outcome': 'not-run' } : {};
    sendJson(response, 503, { error: 'all slots are busy' }, proof);
  };

  /** Waits for the execution time or the abort; returns whether the request was completed. */
  const runWork = async (running: RunningRequest): Promise<boolean> => {
    const { signal } = running.abort;
    if (shouldInject(behaviour.hangPercent)) await waitMs(MAX_TIMER_MS, signal);
    else await waitMs(computeWorkMs(), signal);
    // A late upstream ignores both its deadline and a cancellation.
    if (behaviour.lateMs > 0) await waitMs(behaviour.lateMs);
    return behaviour.lateMs > 0 || !signal.aborted;
  };

  const respondAborted = (running: RunningRequest, response: ServerResponse): void => {
    switch (running.abort.signal.reason) {
      case 'cancelled':
        counts.cancelled += 1;
        return sendJson(response, 499, { error: 'cancelled' });
      case 'deadline':
        counts.deadlinePassed += 1;
        return sendJson(response, 504, { error: 'deadline passed' });
      default:
        counts.callerGone += 1;
        return undefined;
    }
  };

  const respondCompleted = (
    request: IncomingMessage,
    response: ServerResponse,
    callId: string,
    run: number,
    nestedOutcome: NestedOutcome | undefined,
  ): void => {
    if (shouldInject(behaviour.resetPercent)) {
      request.socket.destroy();
      return;
    }
    const nestedResult = nestedOutcome && {
      status: nestedOutcome.status,
      outcome: nestedOutcome.outcome,
      reason: nestedOutcome.reason,
    };
    const body = buildAnswer(callId, options.instanceId, run, parseLength(request), nestedResult);
    if (shouldInject(behaviour.truncatePercent)) {
      sendTruncated(response, body, behaviour.truncateChunked);
      return;
    }
    if (
      nestedOutcome !== undefined &&
      (nestedOutcome.status === 0 || nestedOutcome.status >= 500)
    ) {
      sendText(response, 502, body, nestedOutcome.retry);
      return;
    }
    sendText(response, shouldInject(behaviour.failPercent) ? behaviour.failStatus : 200, body);
  };

  const recordArrival = (): void => {
    counts.arrived += 1;
    if (!context.isLeaving()) return;
    counts.arrivedWhileLeaving += 1;
    counts.lastArrivalAfterLeavingMs = Math.round(performance.now() - leavingStartedAtMs);
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    recordArrival();
    const requestId = getHeader(request, 'lycheelane-request');
    if (requestId !== '') response.setHeader('lycheelane-request', requestId);
    await readBody(request, MAX_BODY_BYTES);
    if (slots.busy >= slots.slots) counts.overSlots += 1;
    const running = behaviour.shedAll ? undefined : slots.admit(requestId);
    if (running === undefined) {
      shed(response);
      return;
    }
    context.onChange();
    const callId = getHeader(request, 'x-call-id');
    const key = getHeader(request, 'idempotency-key');
    const { instanceId } = options;
    const run = ledger.recordRun({ callId, key, requestId, instanceId, atMs: Date.now() });
    const budgetMs = Number(getHeader(request, 'lycheelane-deadline-ms')) || undefined;
    const deadline =
      budgetMs === undefined || behaviour.ignoreDeadline
        ? undefined
        : {
            atMs: performance.now() + budgetMs,
            timer: setTimeout(() => running.abort.abort('deadline'), budgetMs),
          };
    const abortOnClose = () => running.abort.abort('gone');
    response.once('close', abortOnClose);
    try {
      const isCompleted = await runWork(running);
      const depth = parseDepth(request);
      let nestedOutcome: NestedOutcome | undefined;
      if (isCompleted && depth > 0 && nested !== undefined) {
        const remainingMs = deadline && deadline.atMs - performance.now();
        const { signal } = running.abort;
        nestedOutcome = await nested.request(request, callId, depth, remainingMs, signal);
      }
      if (isCompleted) respondCompleted(request, response, callId, run, nestedOutcome);
      else respondAborted(running, response);
    } finally {
      clearTimeout(deadline?.timer);
      response.removeListener('close', abortOnClose);
      slots.release(running);
      context.onChange();
    }
  };

  return {
    counts,
    serve,
    recordLeaving: () => {
      leavingStartedAtMs = performance.now();
    },
  };
}
