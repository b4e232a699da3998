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
import { refuse, type Refusal } from './refusal.js';
import { readBody, type BodyBudget } from './requestBody.js';
import { getRequestId, listEndToEndHeaders } from './requestHead.js';

/** Parts that serve a call. */
export interface ServeParts extends EntryParts {
  readonly config: ConfigStore;
  readonly bodies: BodyBudget;
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
    deadlineMs: head.deadlineMs,
    depth: head.depth,
    signal,
  };
}

/** Writes a refusal by the entry node itself and returns what it stated. */
function writeRefusal(
  response: ServerResponse,
  { result, status }: Refusal,
  requestId: string | undefined,
): Outcome {
  writeFailure(response, result, requestId, status);
  return toOutcome(result);
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
    writeFailure(response, stated, call.requestId);
    return toOutcome(stated);
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
  const head = isOverLimit
    ? refuse<CallHead>('overloaded', 'too many calls are in flight')
    : parseHead(request, parts, requestId, startMs);
  if (head.isErr()) {
    writeRefusal(response, head.error, requestId);
    return;
  }
  const { route, deadlineMs } = head.value;
  const held = await readBody(request, parts.bodies, deadlineMs);
  let outcome: Outcome;
  if (held.isErr()) {
    outcome = writeRefusal(response, held.error, requestId);
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
