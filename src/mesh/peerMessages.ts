/** Encodes the headers by which nodes exchange the metadata of a call and its result. */
import { brandText } from '../types/ids.js';
import {
  isAmount,
  isCount,
  isHeaderText,
  isName,
  MAX_DURATION_MS,
  MAX_SLOTS,
} from '../utils/boundedValues.js';
import type { ClockReading, RemoteInstant } from './clockOffset.js';
import type {
  CallMetadata,
  HttpResponse,
  InstanceLoad,
  RefusalReason,
  RunReport,
  RunResult,
  RunTiming,
} from './model.js';
import { isRefusalReason } from './refusalReason.js';
import { isFinalStatus } from './responseParser.js';

/** Request header with the metadata of a call. */
export const METADATA_HEADER = 'mesh-terms';

/** Response header with the result. */
export const RESULT_HEADER = 'mesh-result';

/** Header of calls and responses with the latest store revisions that a node has applied. */
export const SEEN_HEADER = 'mesh-seen';

/** Request header that asks a node for changes of the configuration. */
export const CONFIG_HEADER = 'mesh-config';

/** Request header that asks a node for changes of the node records. */
export const NODES_HEADER = 'mesh-nodes';

/** Request header with the report of a node to its coordinator, and header of its answer. */
export const COORDINATOR_HEADER = 'mesh-coordinator';

/**
 * Header of calls with the time at which they were sent, on the clock of the receiving process, and
 * of responses with the clock of the process that responds.
 */
export const CLOCK_HEADER = 'mesh-clock';

/** Headers that only nodes may set; they are removed from messages of callers and instances. */
export const NODE_HEADERS: ReadonlySet<string> = new Set([
  METADATA_HEADER,
  RESULT_HEADER,
  SEEN_HEADER,
  CONFIG_HEADER,
  NODES_HEADER,
  COORDINATOR_HEADER,
  CLOCK_HEADER,
]);

/** Characters that `JSON.stringify` leaves as they are and a header cannot hold. */
const NOT_ASCII = /[\u007f-\uffff]/g;

/**
 * Wire format of the call metadata, a JSON array without field names to keep the header short.
 * Times are the remaining milliseconds, since `performance.now` differs between processes.
 * `resumedProcessId` is present only on a resumed call, and is the process that it was first sent
 * to. The fields behind it belong to requests of accounts, but for the last one; null stands for a
 * missing value before a present one.
 */
type MetadataMessage = readonly [
  attemptId: string,
  route: string,
  instanceId: string,
  idempotent: 0 | 1,
  priority: number,
  remainingMs: number,
  objectiveRemainingMs: number,
  resumedProcessId?: string | null,
  account?: string | null,
  accountWeight?: number | null,
  authorizedRemainingMs?: number | null,
  needsFreeSlot?: 1,
];

/** Wire format of the load; `failures` is the failure rate in thousandths. */
type LoadMessage = readonly [
  slots: number,
  inFlight: number,
  meanMs: number,
  failures: number,
  limitPerS?: number,
  availableStarts?: number,
];

/** Wire format of the timing, in whole milliseconds. */
type TimingMessage = readonly [queueMs: number, runMs: number, transitMs?: number];

type ResultMessage = { readonly load?: LoadMessage; readonly timing?: TimingMessage } & (
  | { readonly kind: 'answered' }
  | {
      readonly kind: 'notRun';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      readonly hasArrived: boolean;
    }
  | { readonly kind: 'unknown'; readonly reason: string }
);

/** Metadata of a call received from another node. */
export interface ReceivedMetadata {
  readonly metadata: CallMetadata;
  /** Process that the call was first sent to; undefined unless the call is resumed. */
  readonly resumedProcessId: string | undefined;
}

/** Returns the process that sent a call; the identifier of each attempt begins with it. */
export function getOriginProcess({ attemptId }: Pick<CallMetadata, 'attemptId'>): string {
  return attemptId.split('.', 1)[0]!;
}

/** Formats a message as JSON of visible ASCII characters and blanks, which any header can hold. */
export function formatHeaderJson(message: object): string {
  return JSON.stringify(message).replace(
    NOT_ASCII,
    (unit) => `\\u${unit.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}

/** Encodes the metadata of a call for a header. */
export function encodeMetadata(
  metadata: CallMetadata,
  resumedProcessId: string | undefined,
  nowMs: number,
): string {
  const { account, authorizedUntilMs, needsFreeSlot } = metadata;
  const message = [
    metadata.attemptId,
    metadata.route,
    metadata.instanceId,
    metadata.isIdempotent ? 1 : 0,
    metadata.priority,
    Math.floor(metadata.deadlineAtMs - nowMs),
    Math.floor(metadata.objectiveAtMs - nowMs),
  ];
  const optional = [
    resumedProcessId,
    account?.name,
    account?.weight,
    authorizedUntilMs === undefined ? undefined : Math.floor(authorizedUntilMs - nowMs),
    needsFreeSlot ? 1 : undefined,
  ];
  while (optional.length > 0 && optional.at(-1) === undefined) optional.pop();
  return formatHeaderJson([...message, ...optional.map((value) => value ?? null)]);
}

/** Returns the account of a call; undefined for none, null when its fields are malformed. */
function decodeAccountShare(name: unknown, weight: unknown): CallMetadata['account'] | null {
  if (name === undefined || name === null) return undefined;
  return isName(name) && isAmount(weight) ? { name: brandText(name), weight } : null;
}

/** True for a remaining time; it is negative once the instant has passed. */
function isRemainingMs(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) <= MAX_DURATION_MS;
}

/**
 * Decodes the metadata of a call that was sent at `sentAtMs`, on the clock of this process;
 * undefined when the text is missing or malformed.
 */
export function decodeMetadata(
  text: string | undefined,
  requestId: string,
  sentAtMs: number,
): ReceivedMetadata | undefined {
  if (text === undefined) return undefined;
  let message: MetadataMessage;
  try {
    message = JSON.parse(text) as MetadataMessage;
  } catch {
    return undefined;
  }
  if (!Array.isArray(message) || message.length < 7) return undefined;
  const [
    attemptId,
    route,
    instanceId,
    idempotent,
    priority,
    remainingMs,
    objectiveRemainingMs,
    resumed,
    accountName,
    accountWeight,
    authorized,
    needsFreeSlot,
  ] = message;
  const resumedProcessId = resumed ?? undefined;
  const authorizedRemainingMs = authorized ?? undefined;
  const account = decodeAccountShare(accountName, accountWeight);
  const isUsable =
    isHeaderText(attemptId) &&
    typeof route === 'string' &&
    isHeaderText(instanceId) &&
    isAmount(priority) &&
    isRemainingMs(remainingMs) &&
    isRemainingMs(objectiveRemainingMs) &&
    (resumedProcessId === undefined || isHeaderText(resumedProcessId)) &&
    (authorizedRemainingMs === undefined || isRemainingMs(authorizedRemainingMs));
  if (!isUsable || account === null) return undefined;
  const metadata: CallMetadata = {
    attemptId,
    requestId,
    route: brandText(route),
    instanceId: brandText(instanceId),
    isIdempotent: idempotent === 1,
    priority,
    deadlineAtMs: sentAtMs + remainingMs,
    objectiveAtMs: sentAtMs + objectiveRemainingMs,
  };
  const added: Partial<CallMetadata> = {
    ...(account && { account }),
    ...(authorizedRemainingMs !== undefined && {
      authorizedUntilMs: sentAtMs + authorizedRemainingMs,
    }),
    ...(needsFreeSlot === 1 && { needsFreeSlot: true }),
  };
  return { metadata: { ...metadata, ...added }, resumedProcessId };
}

/** Marks a call whose sender does not know the clock of the receiving process. */
const UNKNOWN_CLOCK = '-';

/** What a received message tells about the time at which it was sent. */
export type SentTime =
  /** On the clock of this process. */
  | { readonly kind: 'known'; readonly atMs: number }
  | { readonly kind: 'unknown' }
  /** The sender is of a build that does not tell it. */
  | { readonly kind: 'unsupported' };

function formatMs(ms: number): string {
  return ms.toFixed(1);
}

/** Encodes the time at which a message is sent; undefined if the other clock is not known. */
export function encodeSentTime(instant: RemoteInstant | undefined): string {
  return instant ? `${instant.clockId}:${formatMs(instant.atMs)}` : UNKNOWN_CLOCK;
}

/** Decodes the time at which a message was sent that this process received at `receivedAtMs`. */
export function decodeSentTime(
  text: string | undefined,
  clockId: string,
  receivedAtMs: number,
): SentTime {
  if (text === undefined) return { kind: 'unsupported' };
  const match = /^([^:]+):(-?\d{1,15}(?:\.\d)?)$/.exec(text);
  if (match?.[1] !== clockId) return { kind: 'unknown' };
  return { kind: 'known', atMs: Math.min(receivedAtMs, Number(match[2])) };
}

/** Encodes the clock of this process for a response. */
export function encodeClockReading(reading: ClockReading): string {
  const { clockId, receivedAtMs, respondedAtMs } = reading;
  return `${clockId}:${formatMs(receivedAtMs)}:${formatMs(respondedAtMs)}`;
}

/** Decodes the clock of the process that responded; undefined when missing or malformed. */
export function decodeClockReading(text: string | undefined): ClockReading | undefined {
  const match = /^([^:]+):(\d{1,15}(?:\.\d)?):(\d{1,15}(?:\.\d)?)$/.exec(text ?? '');
  if (!match) return undefined;
  return {
    clockId: match[1]!,
    receivedAtMs: Number(match[2]),
    respondedAtMs: Number(match[3]),
  };
}

function encodeLoad(load: InstanceLoad): LoadMessage {
  const { slots, inFlight, meanMs, failures, limit } = load;
  const common = [slots, inFlight, Math.round(meanMs), Math.round(failures * 1000)] as const;
  if (!limit) return common;
  return [...common, limit.requestsPerS, Math.round(limit.availableStarts * 100) / 100];
}

/** Decodes a load report; undefined when it is malformed, since it would distort the selection. */
function decodeLoad(message: unknown): InstanceLoad | undefined {
  if (!Array.isArray(message)) return undefined;
  const [slots, inFlight, meanMs, failures, limitPerS, availableStarts = 0] =
    message as unknown as LoadMessage;
  const isUsable =
    isCount(slots, MAX_SLOTS) && isCount(inFlight) && isAmount(meanMs) && isAmount(failures, 1000);
  if (!isUsable) return undefined;
  const load = { slots, inFlight, meanMs, failures: failures / 1000 };
  if (limitPerS === undefined) return { ...load, limit: undefined };
  const isLimit = isAmount(limitPerS) && limitPerS > 0 && Number.isFinite(availableStarts);
  return isLimit ? { ...load, limit: { requestsPerS: limitPerS, availableStarts } } : undefined;
}

function decodeTiming(message: unknown): RunTiming | undefined {
  if (!Array.isArray(message)) return undefined;
  const [queueMs, runMs, transitMs] = message as unknown as TimingMessage;
  if (!isAmount(queueMs) || !isAmount(runMs)) return undefined;
  return isAmount(transitMs) ? { queueMs, runMs, transitMs } : { queueMs, runMs };
}

function encodeTiming({ queueMs, runMs, transitMs }: RunTiming): TimingMessage {
  const times = [Math.round(queueMs), Math.round(runMs)] as const;
  return transitMs === undefined ? times : [...times, Math.round(transitMs)];
}

/** Returns the result of a run; unknown for a response whose status no response may have. */
export function normalizeResult(result: RunResult): RunResult {
  if (result.kind !== 'answered' || isFinalStatus(result.response.status)) return result;
  return { kind: 'unknown', reason: `invalid status ${result.response.status}` };
}

function toRunResult(message: ResultMessage, response: HttpResponse): RunResult {
  const unreadable: RunResult = { kind: 'unknown', reason: 'unreadable result of a node' };
  switch (message.kind) {
    case 'answered':
      return normalizeResult({ kind: 'answered', response });
    case 'notRun': {
      const { kind, reason, retryAfterMs, hasArrived } = message;
      if (typeof reason !== 'string') return unreadable;
      const waitMs = isAmount(retryAfterMs, MAX_DURATION_MS) ? retryAfterMs : 0;
      const knownReason = isRefusalReason(reason) ? reason : 'unreachable';
      return { kind, reason: knownReason, retryAfterMs: waitMs, hasArrived: hasArrived === true };
    }
    case 'unknown':
      return typeof message.reason === 'string'
        ? { kind: 'unknown', reason: message.reason }
        : unreadable;
    default:
      return unreadable;
  }
}

/** Encodes a result for a header; the response itself is sent as the HTTP response. */
export function encodeResult({ result: given, load, timing }: RunReport): string {
  const result = normalizeResult(given);
  const common = {
    load: load && encodeLoad(load),
    timing: timing && encodeTiming(timing),
  };
  const message: ResultMessage =
    result.kind === 'answered' ? { ...common, kind: 'answered' } : { ...common, ...result };
  return formatHeaderJson(message);
}

/** Decodes a result and its load; undefined when the text is missing or malformed. */
export function decodeResult(
  text: string | undefined,
  response: HttpResponse,
): RunReport | undefined {
  if (text === undefined) return undefined;
  let message: ResultMessage | null;
  try {
    message = JSON.parse(text) as ResultMessage | null;
  } catch {
    return undefined;
  }
  if (message === null) return undefined;
  return {
    result: toRunResult(message, response),
    load: decodeLoad(message.load),
    timing: decodeTiming(message.timing),
  };
}
