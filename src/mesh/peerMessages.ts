/** Headers in which nodes tell each other the terms of a call and its result. */
import { brandText } from '../types/ids.js';
import type {
  CallMetadata,
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

/** Header of calls and responses that tells how far a node has followed the store. */
export const SEEN_HEADER = 'mesh-seen';

/** Headers that only nodes may set; those of callers and of instances are dropped. */
export const NODE_HEADERS: ReadonlySet<string> = new Set([
  TERMS_HEADER,
  RESULT_HEADER,
  SEEN_HEADER,
]);

/**
 * Terms as they travel, without names to keep them short: call, route, instance,
 * 1 for a repeatable one, rank, milliseconds to the deadline, milliseconds to the objective, and
 * the process that got the call first when it is sent again on a new connection.
 */
type TermsMessage = readonly [
  call: string,
  route: string,
  instance: string,
  repeatable: 0 | 1,
  rank: number,
  leftMs: number,
  objectiveLeftMs: number,
  resume?: string,
];

/** Load as it travels: slots, requests in flight, mean run time, failures in thousandths. */
type LoadMessage = readonly [slots: number, inFlight: number, meanMs: number, failures: number];

type ResultMessage = { readonly load?: LoadMessage } & (
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
  readonly terms: CallMetadata;
  /** Process that got the call first, when it is sent again. */
  readonly resume: string | undefined;
}

/** Encodes terms for a header. */
export function encodeTerms(
  terms: CallMetadata,
  resume: string | undefined,
  nowMs: number,
): string {
  const message: TermsMessage = [
    terms.attemptId,
    terms.route,
    terms.instanceId,
    terms.isIdempotent ? 1 : 0,
    terms.priority,
    Math.floor(terms.deadlineAtMs - nowMs),
    Math.floor(terms.objectiveAtMs - nowMs),
  ];
  return JSON.stringify(resume === undefined ? message : [...message, resume]);
}

/** Decodes the terms of a call; undefined for anything that no node sends. */
export function decodeTerms(
  text: string | undefined,
  requestId: string,
  nowMs: number,
): ReceivedTerms | undefined {
  if (text === undefined) return undefined;
  let message: TermsMessage;
  try {
    message = JSON.parse(text) as TermsMessage;
  } catch {
    return undefined;
  }
  if (!Array.isArray(message) || message.length < 7) return undefined;
  const [call, route, instance, repeatable, rank, leftMs, objectiveLeftMs, resume] = message;
  const terms: CallMetadata = {
    attemptId: call,
    requestId,
    route: brandText(route),
    instanceId: brandText(instance),
    isIdempotent: repeatable === 1,
    priority: rank,
    deadlineAtMs: nowMs + leftMs,
    objectiveAtMs: nowMs + objectiveLeftMs,
  };
  return { terms, resume };
}

function encodeLoad({ slots, inFlight, meanMs, failures }: InstanceLoad): LoadMessage {
  return [slots, inFlight, Math.round(meanMs), Math.round(failures * 1000)];
}

function decodeLoad([slots, inFlight, meanMs, failures]: LoadMessage): InstanceLoad {
  return { slots, inFlight, meanMs, failures: failures / 1000 };
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

/** Encodes a result for a header; the response itself travels as the HTTP response. */
export function encodeResult({ result, load }: RunReport): string {
  const common = { load: load && encodeLoad(load) };
  const message: ResultMessage =
    result.kind === 'answered' ? { ...common, kind: 'answered' } : { ...common, ...result };
  return JSON.stringify(message);
}

/** Decodes a result and its load; undefined for anything that no node sends. */
export function decodeResult(
  text: string | undefined,
  response: HttpResponse,
): RunReport | undefined {
  if (text === undefined) return undefined;
  let message: ResultMessage;
  try {
    message = JSON.parse(text) as ResultMessage;
  } catch {
    return undefined;
  }
  const { load } = message;
  return { result: toRunResult(message, response), load: load && decodeLoad(load) };
}
