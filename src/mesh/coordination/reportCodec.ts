/**
 * Wire format of reports to a coordinator and of its answers: JSON, deflated once it is large. A
 * small report is sent in a header, so that the coordinator reads no body.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import {
  isAmount,
  isCount,
  isHeaderText,
  isName,
  MAX_DURATION_MS,
} from '../../utils/boundedValues.js';
import { decodeDeflated, encodeDeflated } from '../deflatedJson.js';
import { formatHeaderJson } from '../peerMessages.js';
import type {
  AccountTokens,
  CoordinatorAnswer,
  CoordinatorReport,
  InstanceRuns,
  RolloutDirective,
  RouteRuns,
  TokenGrant,
} from './model.js';

/** Size from which a message is deflated; headers of 16 KiB are the limit of the server. */
const MIN_DEFLATED_BYTES = 4096;

/** Value of the header of a message whose content is deflated in the body. */
const DEFLATED = 'deflated';

/** Value of the header of an answer whose body is JSON. */
const JSON_BODY = 'json';

/** Bounds of what a message can mean; ten times what the largest mesh is designed for. */
const MAX_ENTRIES = 10_000;
const MAX_TOKENS = 1_000_000;
const MAX_LIFE_MS = 10_000;
const MAX_TIME_BUCKETS = 256;

const STATES: readonly unknown[] = ['running', 'promoting', 'completed', 'rolled_back'];

const EMPTY_BODY = Buffer.alloc(0);

/** A message between a node and a coordinator. */
export interface EncodedMessage {
  /** Value of the header. */
  readonly text: string;
  readonly body: Buffer;
}

function toPairs(entries: readonly AccountTokens[]): (readonly [string, number])[] | undefined {
  return entries.length === 0
    ? undefined
    : entries.map(({ account, tokens }) => [account, tokens] as const);
}

/** Encodes a report; empty lists are omitted. */
export async function encodeReport(report: CoordinatorReport): Promise<EncodedMessage> {
  const message = {
    ...report,
    steadyMs: Math.floor(report.steadyMs),
    needs: toPairs(report.needs),
    returns: toPairs(report.returns),
    holds: toPairs(report.holds),
  };
  const text = formatHeaderJson(message);
  if (text.length < MIN_DEFLATED_BYTES) return { text, body: EMPTY_BODY };
  return { text: DEFLATED, body: await encodeDeflated(message) };
}

/** Returns true when the content of a report is in its body. */
export function isInBody(text: string): boolean {
  return text === DEFLATED;
}

function isEach<Entry>(
  values: unknown,
  isValid: (value: unknown) => value is Entry,
  max = MAX_ENTRIES,
): values is Entry[] {
  return Array.isArray(values) && values.length <= max && values.every(isValid);
}

function isPair(value: unknown): value is [account: AccountTokens['account'], tokens: number] {
  return (
    Array.isArray(value) && value.length === 2 && isName(value[0]) && isCount(value[1], MAX_TOKENS)
  );
}

/** Returns the entries of a list; undefined when it is malformed. */
function decodePairs(values: unknown = []): AccountTokens[] | undefined {
  if (!isEach(values, isPair)) return undefined;
  return values.map(([account, tokens]) => ({ account, tokens }));
}

function isRouteRuns(value: unknown): value is RouteRuns {
  const { route, runs, failures, times } = (value ?? {}) as Partial<RouteRuns>;
  const isTime = (count: unknown): count is number => isCount(count);
  return (
    isName(route) && isCount(runs) && isCount(failures) && isEach(times, isTime, MAX_TIME_BUCKETS)
  );
}

function isInstanceRuns(value: unknown): value is InstanceRuns {
  const { service, version, instanceId, routes } = (value ?? {}) as Partial<InstanceRuns>;
  return (
    isName(service) && isName(version) && isHeaderText(instanceId) && isEach(routes, isRouteRuns)
  );
}

function toReport(value: unknown): CoordinatorReport | undefined {
  const message = (value ?? {}) as Partial<CoordinatorReport>;
  const { node, process, steadyMs, mayBridge, runs } = message;
  const needs = decodePairs(message.needs);
  const returns = decodePairs(message.returns);
  const holds = decodePairs(message.holds);
  const isUsable = isName(node) && isHeaderText(process) && isAmount(steadyMs);
  if (!isUsable || !needs || !returns || !holds) return undefined;
  if (runs !== undefined && !isInstanceRuns(runs)) return undefined;
  return { node, process, steadyMs, mayBridge: mayBridge === true, needs, returns, holds, runs };
}

/** Decodes a report; undefined when it is malformed. */
export async function decodeReport(
  text: string,
  body: Buffer,
): Promise<CoordinatorReport | undefined> {
  if (isInBody(text)) {
    const decoded = await decodeDeflated(body, 'coordinator.decodeReport', 'peer');
    return decoded.isOk() ? toReport(decoded.value) : undefined;
  }
  try {
    return toReport(JSON.parse(text));
  } catch {
    return undefined;
  }
}

/** Encodes the answer to a report. */
export async function encodeAnswer(answer: CoordinatorAnswer): Promise<EncodedMessage> {
  const json = Buffer.from(JSON.stringify(answer));
  if (json.length < MIN_DEFLATED_BYTES) return { text: JSON_BODY, body: json };
  return { text: DEFLATED, body: await encodeDeflated(answer) };
}

function isGrant(value: unknown): value is TokenGrant {
  const { account, tokens, lifeMs, retryAfterMs } = (value ?? {}) as Partial<TokenGrant>;
  return (
    isName(account) &&
    isCount(tokens, MAX_TOKENS) &&
    isAmount(lifeMs, MAX_LIFE_MS) &&
    isAmount(retryAfterMs, MAX_DURATION_MS)
  );
}

function isDirective(value: unknown): value is RolloutDirective {
  const { service, targetVersion, state, share } = (value ?? {}) as Partial<RolloutDirective>;
  return isName(service) && isName(targetVersion) && STATES.includes(state) && isAmount(share, 1);
}

function toAnswer(
  value: unknown,
  step: string,
  peer: string,
): Result<CoordinatorAnswer, StepError> {
  const { grants, rollouts } = (value ?? {}) as Partial<CoordinatorAnswer>;
  return isEach(grants, isGrant) && isEach(rollouts, isDirective)
    ? ok({ grants, rollouts })
    : err(buildError('invalid', step, peer, 'malformed answer'));
}

/** Decodes the answer of the node `peer`; `encoding` is the value of its header. */
export async function decodeAnswer(
  encoding: string | undefined,
  body: Buffer,
  peer: string,
): Promise<Result<CoordinatorAnswer, StepError>> {
  const step = 'coordinator.decodeAnswer';
  if (encoding === DEFLATED) {
    const decoded = await decodeDeflated(body, step, peer);
    return decoded.andThen((value) => toAnswer(value, step, peer));
  }
  try {
    return toAnswer(JSON.parse(body.toString('utf8')), step, peer);
  } catch (thrown) {
    return err(toStepError(thrown, step, peer));
  }
}
