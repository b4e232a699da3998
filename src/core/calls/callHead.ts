/** Parses and validates request heads on the call port. */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { ConfigStore, MemberTable } from '../../types/interfaces.js';
import { CALL_HEADERS } from '../../types/outcome.js';
import type { CompiledRoute, RoutingState } from '../../types/routing.js';
import { refuse, type Refusal } from './refusal.js';
import {
  findRoute,
  parseBudgetMs,
  parseDepth,
  parsePath,
  parseTarget,
  type CallTarget,
} from './requestHead.js';

const MAX_HEADER_COUNT = 200;
/** `rawHeaders` contains the name and the value of each header as separate entries. */
const ENTRIES_PER_RAW_HEADER = 2;

/** Prefix of the paths that nodes request from upstreams, for example to cancel a call. */
const RESERVED_PREFIX = '/.lycheelane/';

/** Dependencies of the validation of a request head. */
export interface HeadParts {
  readonly config: ConfigStore;
  readonly members: Pick<MemberTable, 'getSelf'>;
  isLeaving(): boolean;
}

/** Parsed head of a request. */
export interface CallHead {
  readonly routing: RoutingState;
  readonly route: CompiledRoute;
  readonly isForwarded: boolean;
  readonly depth: number;
  readonly deadlineMs: number;
}

function isTargetProcess(
  target: CallTarget,
  self: { nodeId: string; incarnation: string },
): boolean {
  return target.nodeId === self.nodeId && target.incarnation === self.incarnation;
}

/** A stopping node still serves nested calls that upstreams make for requests in flight. */
function canServeWhileLeaving(isForwarded: boolean, depth: number): boolean {
  return !isForwarded && depth > 0;
}

/** Parses and validates the head of a request. Errors: the refusal to send to the caller. */
export function parseHead(
  request: IncomingMessage,
  parts: HeadParts,
  requestId: string | undefined,
  startMs: number,
): Result<CallHead, Refusal> {
  const { headers } = request;
  // Forwarded calls are exempt: nodes add headers to them, and the entry node checked the limit.
  const isFromCaller = headers[CALL_HEADERS.target] === undefined;
  if (isFromCaller && request.rawHeaders.length > ENTRIES_PER_RAW_HEADER * MAX_HEADER_COUNT) {
    return refuse('bad-request', `more than ${MAX_HEADER_COUNT} headers`, 431);
  }
  const target = parseTarget(headers);
  if (target.isErr()) return refuse('bad-request', target.error.result.detail);
  if (requestId === undefined) return refuse('bad-request', `${CALL_HEADERS.request} is missing`);
  const isForwarded = target.value !== undefined;
  const self = parts.members.getSelf();
  if (target.value && !isTargetProcess(target.value, self)) {
    return refuse('wrong-node', `this is ${self.nodeId}/${self.incarnation}`);
  }
  const routing = parts.config.isReady() ? parts.config.getRouting() : undefined;
  if (!routing) return refuse('not-ready', 'no accepted configuration is installed');
  const path = parsePath(request.url ?? '');
  if (path.isErr()) return err(path.error);
  if (path.value.startsWith(RESERVED_PREFIX)) {
    return refuse('no-route', 'paths below /.lycheelane/ are reserved');
  }
  const depth = parseDepth(headers);
  if (depth.isErr()) return err(depth.error);
  const route = findRoute(request, path.value, routing, isForwarded);
  if (route.isErr()) return err(route.error);
  const budgetMs = parseBudgetMs(headers, route.value.config.timeoutMs);
  if (budgetMs.isErr()) return err(budgetMs.error);
  if (parts.isLeaving() && !canServeWhileLeaving(isForwarded, depth.value)) {
    return refuse('leaving', `${self.nodeId} is stopping`);
  }
  if (budgetMs.value === 0) return refuse('deadline', 'no time left');
  return ok({
    routing,
    route: route.value,
    isForwarded,
    depth: depth.value,
    deadlineMs: startMs + budgetMs.value,
  });
}
