/** Serves one HTTP request on the call port, from its head to the end of the response. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { AttemptResult, Call } from '../../types/calls.js';
import { brandText, type RequestId } from '../../types/ids.js';
import type { ConfigStore } from '../../types/interfaces.js';
import { CALL_HEADERS, type Outcome } from '../../types/outcome.js';
import { formatLoad, relayAnswer, toOutcome, writeFailure } from './answer.js';
import { parseHead, type CallHead } from './callHead.js';
import { CallerSignal } from './callerSignal.js';
import { runCall, type EntryParts } from './entry.js';
import { computeHopBudgetMs } from './forward.js';
import type { ReadyWait } from './readyWait.js';
import { buildUnknown, refuse, type FailedResult, type Refusal } from './refusal.js';
import { readBody, type BodyBudget } from './requestBody.js';
import { getRequestId, listEndToEndHeaders, parseBudgetMs } from './requestHead.js';

/**
 * Longest time for which a starting node holds a call with a key. A node that can reach its peers
 * or the platform has its configuration within 3.5 s (`distribution/floor`).
 */
const READY_WAIT_MS = 5000;

/** Parts that serve a call. */
export interface ServeParts extends EntryParts {
  readonly config: ConfigStore;
  readonly bodies: BodyBudget;
  readonly waitUntilReady: ReadyWait;
}

function buildCall(
  request: IncomingMessage,
  response: ServerResponse,
  head: CallHead,
  requestId: RequestId,
  body: Buffer,
): Call {
  const signal = new CallerSignal();
  if (response.destroyed) signal.abort();
  response.once('close', () => {
    if (!response.writableFinished) signal.abort();
  });
  return {
    requestId,
    route: head.route,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: listEndToEndHeaders(request.headers),
    body,
    key: head.key,
    deadlineMs: head.deadlineMs,
    depth: head.depth,
    signal,
  };
}

/**
 * A caller that repeats a key would take "not run" as a statement about all its arrivals. Only the
 * process that owns the key can make that statement; any other refusal is `unknown`. Refusals of
 * the request's form are made before any key could be accepted.
 */
function deriveStatement(result: FailedResult, hasKey: boolean): FailedResult {
  if (result.kind !== 'notRun' || !hasKey || result.isKeyChecked) return result;
  if (result.reason === 'bad-request' || result.reason === 'no-route') return result;
  const detail = `${result.reason}: ${result.detail}; repeat the request with the same key`;
  return { ...buildUnknown('key-undecided', detail), retriesExhausted: result.retriesExhausted };
}

/** Writes a refusal by the entry node itself and returns what it stated. */
function writeRefusal(
  response: ServerResponse,
  { result, status }: Refusal,
  requestId: string | undefined,
  hasKey: boolean,
): Outcome {
  const qualified = deriveStatement(result, hasKey);
  writeFailure(response, qualified, requestId, qualified === result ? status : undefined);
  return toOutcome(qualified);
}

async function writeResult(
  response: ServerResponse,
  result: AttemptResult,
  call: Call,
  head: CallHead,
  parts: ServeParts,
): Promise<Outcome> {
  if (result.kind !== 'answered') {
    const load = head.isForwarded ? parts.dispatcher.getLoad(call.route.service.name) : undefined;
    const stated = result.kind === 'notRun' && load ? { ...result, load } : result;
    const qualified = deriveStatement(stated, !head.isForwarded && head.key.kind !== 'none');
    writeFailure(response, qualified, call.requestId);
    return toOutcome(qualified);
  }
  const added: OutgoingHttpHeaders = { [CALL_HEADERS.request]: call.requestId };
  if (head.isForwarded) {
    const load = result.load ?? parts.dispatcher.getLoad(call.route.service.name);
    if (load) added[CALL_HEADERS.load] = formatLoad(load);
  } else {
    added[CALL_HEADERS.version] = String(head.routing.version);
  }
  return relayAnswer(response, result, added);
}

/**
 * Holds a call with a key while this node starts. Refused here, it could not be told apart from
 * an arrival that ran, so the caller would get `unknown` for a call that was only early.
 */
async function waitUntilInstalled(
  request: IncomingMessage,
  response: ServerResponse,
  parts: ServeParts,
  startMs: number,
): Promise<void> {
  const { headers } = request;
  if (headers[CALL_HEADERS.key] === undefined || parts.config.isReady()) return;
  const budgetMs = parseBudgetMs(headers, READY_WAIT_MS).unwrapOr(0);
  const isAbandoned = () => response.destroyed || parts.isLeaving();
  await parts.waitUntilReady(startMs + computeHopBudgetMs(budgetMs), isAbandoned);
}

/** Serves a request; `isOverLimit` refuses it because too many are in flight. */
export async function serveCall(
  request: IncomingMessage,
  response: ServerResponse,
  parts: ServeParts,
  isOverLimit: boolean,
): Promise<void> {
  const startMs = performance.now();
  const isForwarded = request.headers[CALL_HEADERS.target] !== undefined;
  const requestId = isForwarded ? getRequestId(request.headers) : randomUUID();
  if (!isOverLimit && !isForwarded) await waitUntilInstalled(request, response, parts, startMs);
  const head = isOverLimit
    ? refuse<CallHead>('overloaded', 'too many calls are in flight')
    : parseHead(request, parts, requestId, startMs);
  if (head.isErr()) {
    const hasKey = !isForwarded && request.headers[CALL_HEADERS.key] !== undefined;
    writeRefusal(response, head.error, requestId, hasKey);
    return;
  }
  const { route, deadlineMs } = head.value;
  const held = await readBody(request, parts.bodies, deadlineMs);
  let outcome: Outcome;
  if (held.isErr()) {
    const hasKey = !isForwarded && head.value.key.kind !== 'none';
    outcome = writeRefusal(response, held.error, requestId, hasKey);
  } else {
    try {
      const id = brandText<RequestId>(requestId ?? '');
      const call = buildCall(request, response, head.value, id, held.value.body);
      const result = isForwarded
        ? await parts.dispatcher.dispatch(call)
        : await runCall(call, parts);
      outcome = await writeResult(response, result, call, head.value, parts);
    } finally {
      held.value.release();
    }
  }
  if (!isForwarded) parts.observer.record(route.name, outcome, performance.now() - startMs);
}
