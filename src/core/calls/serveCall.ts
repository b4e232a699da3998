/** Serves one HTTP request on the call port, from its head to the end of the response. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { AttemptResult, Call } from '../../types/calls.js';
import { brandText, type RequestId } from '../../types/ids.js';
import type { ConfigStore } from '../../types/interfaces.js';
import { CALL_HEADERS, type Outcome } from '../../types/outcome.js';
import { formatLoad, relayResponse, buildOutcome, writeFailure } from './answer.js';
import { parseHead, type CallHead } from './callHead.js';
import { CallerSignal } from './callerSignal.js';
import { runCall, type EntryParts } from './entry.js';
import { refuse, type Refusal } from './refusal.js';
import { readBody, type BodyBudget } from './requestBody.js';
import { getRequestId, copyEndToEndHeaders } from './requestHead.js';

/** Dependencies of `serveCall`. */
export interface ServeParts extends EntryParts {
  readonly config: ConfigStore;
  readonly bodyBudget: BodyBudget;
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
    headers: copyEndToEndHeaders(request.headers),
    body,
    deadlineMs: head.deadlineMs,
    depth: head.depth,
    signal,
  };
}

/** Writes a refusal by this node and returns its outcome. */
function writeRefusal(
  response: ServerResponse,
  { result, status }: Refusal,
  requestId: string | undefined,
): Outcome {
  writeFailure(response, result, requestId, status);
  return buildOutcome(result);
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
    const resultWithLoad = result.kind === 'notRun' && load ? { ...result, load } : result;
    writeFailure(response, resultWithLoad, call.requestId);
    return buildOutcome(resultWithLoad);
  }
  const extraHeaders: OutgoingHttpHeaders = { [CALL_HEADERS.request]: call.requestId };
  if (head.isForwarded) {
    const load = result.load ?? parts.dispatcher.getLoad(call.route.service.name);
    if (load) extraHeaders[CALL_HEADERS.load] = formatLoad(load);
  } else {
    extraHeaders[CALL_HEADERS.version] = String(head.routing.version);
  }
  return relayResponse(response, result, extraHeaders);
}

/** Serves a request, or refuses it if `isOverLimit` says that too many are in flight. */
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
  const buffered = await readBody(request, parts.bodyBudget, deadlineMs);
  let outcome: Outcome;
  if (buffered.isErr()) {
    outcome = writeRefusal(response, buffered.error, requestId);
  } else {
    try {
      const id = brandText<RequestId>(requestId ?? '');
      const call = buildCall(request, response, head.value, id, buffered.value.body);
      const result = isForwarded
        ? await parts.dispatcher.dispatch(call)
        : await runCall(call, parts);
      outcome = await writeResult(response, result, call, head.value, parts);
    } finally {
      buffered.value.release();
    }
  }
  if (!isForwarded) parts.observer.record(route.name, outcome, performance.now() - startMs);
}
