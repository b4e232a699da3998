/** Encodes outcomes in response headers and parses them from the responses of other nodes. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { LoadReport } from '../../types/calls.js';
import { CALL_HEADERS, type Outcome, type UnknownReason } from '../../types/outcome.js';
import {
  NOT_RUN_STATUS,
  UNKNOWN_STATUS,
  buildUnknown,
  getFailureStatus,
  type AnsweredResult,
  type FailedResult,
} from './refusal.js';
import { copyEndToEndHeaders } from './requestHead.js';

const RETRY_EXHAUSTED = 'exhausted';

/** Why a response body did not reach the caller; undefined if it was sent completely. */
type BodyFailure = { reason: UnknownReason; detail: string } | undefined;

const LOAD_PATTERN = /^(\d{1,9})\/(\d{1,9})\/(\d{1,9})$/;

/** Formats a load report for its header. */
export function formatLoad(load: LoadReport): string {
  return `${load.busy}/${load.slots}/${load.queued}`;
}

/** Parses a load header; undefined when it is absent or malformed. */
export function parseLoad(text: string | string[] | undefined): LoadReport | undefined {
  const match = typeof text === 'string' ? LOAD_PATTERN.exec(text) : null;
  if (!match) return undefined;
  return { busy: Number(match[1]), slots: Number(match[2]), queued: Number(match[3]) };
}

function isReason<Reason extends string>(
  reasons: Readonly<Record<Reason, number>>,
  text: unknown,
): text is Reason {
  return typeof text === 'string' && Object.hasOwn(reasons, text);
}

/**
 * Returns the failure that a node's response head reports, or undefined for a response of the
 * upstream. A response with another request id proves nothing about this request, whatever its
 * outcome header says.
 */
export function parseFailure(
  headers: IncomingHttpHeaders,
  requestId: string,
  peer: string,
): FailedResult | undefined {
  if (headers[CALL_HEADERS.request] !== requestId) {
    return buildUnknown('mismatched-answer', `${peer} answered another request`);
  }
  const outcome = headers[CALL_HEADERS.outcome];
  if (outcome === undefined) return undefined;
  const reason = headers[CALL_HEADERS.reason];
  const retriesExhausted = headers[CALL_HEADERS.retry] === RETRY_EXHAUSTED;
  const detail = `${peer} answered ${String(outcome)}`;
  if (outcome !== 'not-run') {
    const known = isReason(UNKNOWN_STATUS, reason) ? reason : 'connection-lost';
    return { kind: 'unknown', reason: known, detail, retriesExhausted };
  }
  return {
    kind: 'notRun',
    reason: isReason(NOT_RUN_STATUS, reason) ? reason : 'not-ready',
    detail,
    load: parseLoad(headers[CALL_HEADERS.load]),
    retriesExhausted,
  };
}

/** Writes a result without a response; `status` overrides the status of its reason. */
export function writeFailure(
  response: ServerResponse,
  result: FailedResult,
  requestId: string | undefined,
  status = getFailureStatus(result),
): void {
  if (response.headersSent || response.destroyed) return;
  const text = `${result.kind === 'notRun' ? 'not run' : 'unknown'}: ${result.detail}\n`;
  const headers: OutgoingHttpHeaders = {
    'content-type': 'text/plain; charset=utf-8',
    'content-length': Buffer.byteLength(text),
    [CALL_HEADERS.outcome]: result.kind === 'notRun' ? 'not-run' : 'unknown',
    [CALL_HEADERS.reason]: result.reason,
  };
  if (requestId !== undefined) headers[CALL_HEADERS.request] = requestId;
  if (result.retriesExhausted) headers[CALL_HEADERS.retry] = RETRY_EXHAUSTED;
  if (result.kind === 'notRun' && result.load) headers[CALL_HEADERS.load] = formatLoad(result.load);
  // A caller that sends its body too slowly would otherwise keep the connection open.
  if (!response.req.complete && result.reason === 'deadline') headers.connection = 'close';
  response.writeHead(status, headers);
  response.end(text);
}

/** Builds the outcome of a failed attempt. */
export function buildOutcome(result: FailedResult): Outcome {
  return result.kind === 'notRun'
    ? { kind: 'notRun', reason: result.reason, detail: result.detail }
    : { kind: 'unknown', reason: result.reason, detail: result.detail };
}

/** True if the whole body is buffered; false for empty bodies and responses to HEAD. */
function isFullyBuffered({ body, headers }: AnsweredResult): boolean {
  const { readableLength } = body;
  return readableLength > 0 && headers['content-length'] === String(readableLength);
}

function pipeBody(
  result: AnsweredResult,
  response: ServerResponse,
  onEnd: (end: BodyFailure) => void,
) {
  const { body } = result;
  const abortTruncated = (error?: Error) => {
    if (body.readableEnded) return;
    onEnd({ reason: 'truncated', detail: error?.message ?? 'the response body was truncated' });
    response.destroy();
  };
  body.once('error', abortTruncated);
  body.once('close', abortTruncated);
  let isSent = false;
  response.once('finish', () => {
    isSent = true;
    onEnd(undefined);
  });
  response.once('close', () => {
    // `writableFinished` is also true if the socket closed before the response was sent.
    if (isSent) return;
    onEnd({ reason: 'cancelled', detail: 'the caller disconnected' });
    body.destroy();
  });
  if (isFullyBuffered(result)) {
    // A small body arrives with its head; writing it in one go avoids the listeners of `pipe`.
    response.end(body.read());
    body.resume();
  } else {
    body.pipe(response);
  }
}

/**
 * Streams a response to the caller and resolves with the outcome once the body has ended. A
 * truncated body closes the caller's connection, so that it cannot be taken for a complete one.
 */
export function relayResponse(
  response: ServerResponse,
  result: AnsweredResult,
  extraHeaders: OutgoingHttpHeaders,
): Promise<Outcome> {
  const { status, body } = result;
  return new Promise((resolve) => {
    const finish = (failure: BodyFailure) =>
      resolve(failure ? { kind: 'unknown', ...failure } : { kind: 'answered', status });
    if (response.destroyed || body.destroyed) {
      const reason = response.destroyed ? 'cancelled' : 'truncated';
      body.destroy();
      response.destroy();
      finish({ reason, detail: 'the connection closed before the response was sent' });
      return;
    }
    // `lycheelane-*` headers of the upstream are dropped: only nodes may report an outcome.
    response.writeHead(status, Object.assign(copyEndToEndHeaders(result.headers), extraHeaders));
    // Not `stream.pipeline`: it aborts a signal at each end, which took 7% of a call's CPU time.
    pipeBody(result, response, finish);
  });
}
