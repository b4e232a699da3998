/** Serves one HTTP request on the call port, from its head to the end of the response. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { ok, type Result } from 'neverthrow';
import type { AttemptResult, Call } from '../../types/calls.js';
import { brandText, type RequestId } from '../../types/ids.js';
import type { ConfigStore } from '../../types/interfaces.js';
import { CALL_HEADERS, type Outcome } from '../../types/outcome.js';
import type { CompiledRoute, RoutingState } from '../../types/routing.js';
import { formatLoad, relayAnswer, toOutcome, writeFailure } from './answer.js';
import { parseCallKey } from './callKey.js';
import { CallerSignal } from './callerSignal.js';
import { runCall, type EntryParts } from './entry.js';
import { buildUnknown, refuse, type FailedResult, type Refusal } from './refusal.js';
import { readBody, type BodyBudget } from './requestBody.js';
import {
  findRoute,
  getRequestId,
  listEndToEndHeaders,
  parseBudgetMs,
  parseDepth,
  parsePath,
  parseTarget,
  type CallTarget,
} from './requestHead.js';

const MAX_HEADER_COUNT = 200;

/** Parts that serve a call. */
export interface ServeParts extends EntryParts {
  readonly config: ConfigStore;
  readonly bodies: BodyBudget;
}

/** What the head of a request says. */
interface CallHead {
  readonly routing: RoutingState;
  readonly route: CompiledRoute;
  readonly isForwarded: boolean;
  readonly key: Call['key'];
  readonly depth: number;
  readonly deadlineMs: number;
}

function isProcess(target: CallTarget, self: { nodeId: string; incarnation: string }): boolean {
  return target.nodeId === self.nodeId && target.incarnation === self.incarnation;
}

/**
 * While the node stops it still serves calls that upstreams make for requests in flight. Calls with
 * a key are passed on too: only the owner of the key can tell what became of it.
 */
function canServeWhileLeaving(isForwarded: boolean, key: Call['key'], depth: number): boolean {
  return key.kind !== 'none' || (!isForwarded && depth > 0);
}

function parseHead(
  request: IncomingMessage,
  parts: ServeParts,
  requestId: string | undefined,
  startMs: number,
): Result<CallHead, Refusal> {
  const { headers } = request;
  // Nodes add headers to a forwarded call, whose own ones the entry node has counted.
  const isCounted = headers[CALL_HEADERS.target] === undefined;
  if (isCounted && request.rawHeaders.length > 2 * MAX_HEADER_COUNT) {
    return refuse('bad-request', `more than ${MAX_HEADER_COUNT} headers`, 431);
  }
  const target = parseTarget(headers);
  if (target.isErr()) return refuse('bad-request', target.error.result.detail);
  if (requestId === undefined) return refuse('bad-request', `${CALL_HEADERS.request} is missing`);
  const isForwarded = target.value !== undefined;
  const self = parts.members.getSelf();
  if (target.value && !isProcess(target.value, self)) {
    return refuse('wrong-node', `this is ${self.nodeId}/${self.incarnation}`);
  }
  const routing = parts.config.isReady() ? parts.config.getRouting() : undefined;
  if (!routing) return refuse('not-ready', 'no accepted configuration is installed');
  return parsePath(request.url ?? '').andThen((path) =>
    parseDepth(headers).andThen((depth) =>
      findRoute(request, path, routing, isForwarded).andThen((route) =>
        parseCallKey(headers[CALL_HEADERS.key], route.config.repeatability === 'once').andThen(
          (key) =>
            parseBudgetMs(headers, route.config.timeoutMs).andThen((budgetMs) => {
              if (parts.isLeaving() && !canServeWhileLeaving(isForwarded, key, depth)) {
                return refuse<CallHead>('leaving', `${self.nodeId} is stopping`);
              }
              if (budgetMs === 0) return refuse<CallHead>('deadline', 'no time left');
              const deadlineMs = startMs + budgetMs;
              return ok({ routing, route, isForwarded, key, depth, deadlineMs });
            }),
        ),
      ),
    ),
  );
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
function qualifyRefusal(result: FailedResult, hasKey: boolean): FailedResult {
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
  const qualified = qualifyRefusal(result, hasKey);
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
    const qualified = qualifyRefusal(stated, !head.isForwarded && head.key.kind !== 'none');
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
