/** Headers in which nodes tell each other the terms of a call and its result. */
import { brandText } from '../types/ids.js';
import type {
  CallTerms,
  HttpResponse,
  InstanceLoad,
  RefusalReason,
  RunReport,
  RunResult,
} from './model.js';

/** Request header with the terms. */
export const TERMS_HEADER = 'mesh-terms';

/** Response header with the result. */
export const RESULT_HEADER = 'mesh-result';

/** Terms as they travel: times are left over, not instants. */
interface TermsMessage {
  readonly call: string;
  readonly request: string;
  readonly route: string;
  readonly service: string;
  readonly instance: string;
  readonly repeatable: boolean;
  readonly rank: number;
  readonly leftMs: number;
  readonly objectiveLeftMs: number;
  /** Process that got the call first; set when it is sent again on a new connection. */
  readonly resume?: string;
}

type ResultMessage = { readonly process: string; readonly load?: InstanceLoad } & (
  | { readonly kind: 'answered' }
  | {
      readonly kind: 'notRun';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      readonly hasArrived: boolean;
    }
  | { readonly kind: 'unknown'; readonly reason: string }
);

/** A call as another node sent it. */
export interface ReceivedTerms {
  readonly terms: CallTerms;
  /** Process that got the call first, when it is sent again. */
  readonly resume: string | undefined;
}

/** Encodes terms for a header. */
export function encodeTerms(terms: CallTerms, resume: string | undefined, nowMs: number): string {
  const message: TermsMessage = {
    call: terms.callId,
    request: terms.requestId,
    route: terms.route,
    service: terms.service,
    instance: terms.instanceId,
    repeatable: terms.isRepeatable,
    rank: terms.rank,
    leftMs: Math.floor(terms.deadlineAtMs - nowMs),
    objectiveLeftMs: Math.floor(terms.objectiveAtMs - nowMs),
    resume,
  };
  return JSON.stringify(message);
}

/** Decodes the terms of a call; undefined for anything that no node sends. */
export function decodeTerms(text: string | undefined, nowMs: number): ReceivedTerms | undefined {
  if (text === undefined) return undefined;
  let message: TermsMessage;
  try {
    message = JSON.parse(text) as TermsMessage;
  } catch {
    return undefined;
  }
  if (typeof message?.call !== 'string' || typeof message.leftMs !== 'number') return undefined;
  const terms: CallTerms = {
    callId: message.call,
    requestId: message.request,
    route: brandText(message.route),
    service: brandText(message.service),
    instanceId: brandText(message.instance),
    isRepeatable: message.repeatable,
    rank: message.rank,
    deadlineAtMs: nowMs + message.leftMs,
    objectiveAtMs: nowMs + message.objectiveLeftMs,
  };
  return { terms, resume: message.resume };
}

/** Encodes a result for a header; the response itself travels as the HTTP response. */
export function encodeResult({ result, load }: RunReport, processId: string): string {
  const common = { process: processId, load };
  const message: ResultMessage =
    result.kind === 'answered' ? { ...common, kind: 'answered' } : { ...common, ...result };
  return JSON.stringify(message);
}

/** Decodes a result and its load; undefined for anything that no node sends. */
export function decodeResult(
  text: string | undefined,
  response: HttpResponse,
): (RunReport & { readonly process: string }) | undefined {
  if (text === undefined) return undefined;
  let message: ResultMessage;
  try {
    message = JSON.parse(text) as ResultMessage;
  } catch {
    return undefined;
  }
  const { process, load } = message;
  return { result: toRunResult(message, response), load, process };
}

function toRunResult(message: ResultMessage, response: HttpResponse): RunResult {
  switch (message.kind) {
    case 'answered':
      return { kind: 'answered', response };
    case 'notRun': {
      const { kind, reason, retryAfterMs, hasArrived } = message;
      return { kind, reason, retryAfterMs, hasArrived };
    }
    case 'unknown':
      return { kind: 'unknown', reason: message.reason };
    default:
      return { kind: 'unknown', reason: 'unreadable result of a node' };
  }
}
