/** Writes outcomes on the wire and reads them from the answers of other nodes. */
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
import { listEndToEndHeaders } from './requestHead.js';

const EXHAUSTED = 'exhausted';

/** Why a response body did not reach the caller; undefined if it did. */
type BodyEnd = { reason: UnknownReason; detail: string } | undefined;

const LOAD = /^(\d{1,9})\/(\d{1,9})\/(\d{1,9})$/;

/** Formats a load report for its header. */
export function formatLoad(load: LoadReport): string {
  return `${load.busy}/${load.slots}/${load.queued}`;
}

/** Parses a load header; undefined when it is absent or malformed. */
export function parseLoad(text: string | string[] | undefined): LoadReport | undefined {
  const parts = typeof text === 'string' ? LOAD.exec(text) : null;
  if (!parts) return undefined;
  return { busy: Number(parts[1]), slots: Number(parts[2]), queued: Number(parts[3]) };
}

function isReason<Reason extends string>(
  reasons: Readonly<Record<Reason, number>>,
  text: unknown,
): text is Reason {
  return typeof text === 'string' && Object.hasOwn(reasons, text);
}

/**
 * Returns what the head of a node's answer states, or undefined for an ordinary response.
 * An answer with another request id says nothing about this request, whatever its outcome.
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
  const retriesExhausted = headers[CALL_HEADERS.retry] === EXHAUSTED;
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

/** Writes a result without a response; `status` replaces the one of its reason. */
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
  if (result.retriesExhausted) headers[CALL_HEADERS.retry] = EXHAUSTED;
  if (result.kind === 'notRun' && result.load) headers[CALL_HEADERS.load] = formatLoad(result.load);
  // A caller that sends its body too slowly would hold the connection.
  if (!response.req.complete && result.reason === 'deadline') headers.connection = 'close';
  response.writeHead(status, headers);
  response.end(text);
}

/** Converts a failed attempt into the outcome stated to the caller. */
export function toOutcome(result: FailedResult): Outcome {
  return result.kind === 'notRun'
    ? { kind: 'notRun', reason: result.reason, detail: result.detail }
    : { kind: 'unknown', reason: result.reason, detail: result.detail };
}

/** True when every byte of the body has arrived; a HEAD response or an empty body is not meant. */
function isBuffered({ body, headers }: AnsweredResult): boolean {
  const { readableLength } = body;
  return readableLength > 0 && headers['content-length'] === String(readableLength);
}

function connectBody(
  result: AnsweredResult,
  response: ServerResponse,
  finish: (end: BodyEnd) => void,
) {
  const { body } = result;
  const abortTruncated = (error?: Error) => {
    if (body.readableEnded) return;
    finish({ reason: 'truncated', detail: error?.message ?? 'the response body broke off' });
    response.destroy();
  };
  body.once('error', abortTruncated);
  body.once('close', abortTruncated);
  let isSent = false;
  response.once('finish', () => {
    isSent = true;
    finish(undefined);
  });
  response.once('close', () => {
    // `writableFinished` is also true of a response that lost its socket before it was sent.
    if (isSent) return;
    finish({ reason: 'cancelled', detail: 'the caller went away' });
    body.destroy();
  });
  if (isBuffered(result)) {
    // A small body comes with its head; writing it at once saves the listeners of `pipe`.
    response.end(body.read());
    body.resume();
  } else {
    body.pipe(response);
  }
}

/**
 * Streams a response to the caller and resolves with the outcome once the body has ended. A body
 * that breaks off destroys the caller's connection, so it cannot pass for a complete one.
 */
export function relayAnswer(
  response: ServerResponse,
  result: AnsweredResult,
  added: OutgoingHttpHeaders,
): Promise<Outcome> {
  const { status, body } = result;
  return new Promise((resolve) => {
    const finish = (end: BodyEnd) =>
      resolve(end ? { kind: 'unknown', ...end } : { kind: 'answered', status });
    if (response.destroyed || body.destroyed) {
      const reason = response.destroyed ? 'cancelled' : 'truncated';
      body.destroy();
      response.destroy();
      finish({ reason, detail: 'the connection closed before the response was sent' });
      return;
    }
    // `lycheelane-*` headers of the upstream are dropped: only a node states an outcome.
    response.writeHead(status, Object.assign(listEndToEndHeaders(result.headers), added));
    // `stream.pipeline` aborts a signal at each end, which took 7% of the CPU time of a call.
    connectBody(result, response, finish);
  });
}
