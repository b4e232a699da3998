/** Work of the upstream stand-in: admission, work time, faults, nested calls, answer. */
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

/** Counts of the work so far. */
export interface WorkCounts {
  arrived: number;
  /** Requests refused because all slots were busy or shedding was on. */
  shed: number;
  /** Requests that arrived while all slots were busy. */
  overSlots: number;
  cancelled: number;
  deadlinePassed: number;
  /** Requests whose connection was gone before the answer. */
  callerGone: number;
  /** Requests that arrived after the upstream began to leave. */
  arrivedWhileLeaving: number;
  /** Longest time between the begin of leaving and an arrival, in milliseconds. */
  lastArrivalAfterLeavingMs: number;
}

/** What the work needs of its server. */
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

function getHeader(request: IncomingMessage, name: string): string {
  return request.headers[name]?.toString() ?? '';
}

function parseLength(request: IncomingMessage): number {
  const query = new URL(request.url ?? '/', 'http://upstream').searchParams.get('length');
  const text = getHeader(request, 'x-answer-length') || query || '64';
  return /^\d{1,9}$/.test(text) ? Math.min(Number(text), MAX_ANSWER_LENGTH) : 64;
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

/** Sends half of the body, with the whole length or in chunks, and breaks the connection. */
function sendHalf(response: ServerResponse, text: string, isChunked: boolean): void {
  const body = Buffer.from(text);
  const framing = isChunked ? {} : { 'content-length': body.length };
  response.writeHead(200, { 'content-type': 'application/json', ...framing });
  response.write(body.subarray(0, Math.floor(body.length / 2)), () => response.destroy());
}

/** Creates the part that serves work requests. */
export function createWorker(context: WorkContext) {
  const { options, behaviour, slots, ledger, nested } = context;
  const random = createRandom(options.seed);
  const startedMs = performance.now();
  let leavingSinceMs = 0;
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

  const isDrawn = (percent: number) => percent > 0 && random() * 100 < percent;

  const computeWorkMs = (): number => {
    const coldMs = options.coldStartMs ?? 0;
    const ageMs = performance.now() - startedMs;
    const coldFactor = ageMs < coldMs ? 1 + 2 * (1 - ageMs / coldMs) : 1;
    const drawnMs = -Math.log(1 - random()) * options.workMs;
    return Math.min(drawnMs, options.workMs * 8) * coldFactor + behaviour.latencyMs;
  };

  const shed = (response: ServerResponse): void => {
    counts.shed += 1;
    const proof = behaviour.shedProof ? { 'lycheelane-outcome': 'not-run' } : {};
    sendJson(response, 503, { error: 'all slots are busy' }, proof);
  };

  /** Waits for the work time or the abort; true when the work is done. */
  const runWork = async (running: RunningRequest): Promise<boolean> => {
    const { signal } = running.abort;
    if (isDrawn(behaviour.hangPercent)) await waitMs(2 ** 31 - 1, signal);
    else await waitMs(computeWorkMs(), signal);
    // A late upstream has noticed neither its deadline nor a cancellation.
    if (behaviour.lateMs > 0) await waitMs(behaviour.lateMs);
    return behaviour.lateMs > 0 || !signal.aborted;
  };

  const answerAborted = (running: RunningRequest, response: ServerResponse): void => {
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

  const answerDone = (
    request: IncomingMessage,
    response: ServerResponse,
    callId: string,
    run: number,
    inner: NestedOutcome | undefined,
  ): void => {
    if (isDrawn(behaviour.resetPercent)) {
      request.socket.destroy();
      return;
    }
    const shown = inner && { status: inner.status, outcome: inner.outcome, reason: inner.reason };
    const body = buildAnswer(callId, options.instanceId, run, parseLength(request), shown);
    if (isDrawn(behaviour.truncatePercent)) {
      sendHalf(response, body, behaviour.truncateChunked);
      return;
    }
    if (inner !== undefined && (inner.status === 0 || inner.status >= 500)) {
      sendText(response, 502, body, inner.retry);
      return;
    }
    sendText(response, isDrawn(behaviour.failPercent) ? behaviour.failStatus : 200, body);
  };

  const recordArrival = (): void => {
    counts.arrived += 1;
    if (!context.isLeaving()) return;
    counts.arrivedWhileLeaving += 1;
    counts.lastArrivalAfterLeavingMs = Math.round(performance.now() - leavingSinceMs);
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
    const noteCallerGone = () => running.abort.abort('gone');
    response.once('close', noteCallerGone);
    try {
      const isDone = await runWork(running);
      const depth = parseDepth(request);
      let inner: NestedOutcome | undefined;
      if (isDone && depth > 0 && nested !== undefined) {
        const remainingMs = deadline && deadline.atMs - performance.now();
        const { signal } = running.abort;
        inner = await nested.request(request, callId, depth, remainingMs, signal);
      }
      if (isDone) answerDone(request, response, callId, run, inner);
      else answerAborted(running, response);
    } finally {
      clearTimeout(deadline?.timer);
      response.removeListener('close', noteCallerGone);
      slots.release(running);
      context.onChange();
    }
  };

  return {
    counts,
    serve,
    recordLeaving: () => {
      leavingSinceMs = performance.now();
    },
  };
}
