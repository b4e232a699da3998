/** The head of a request on the call port: which route, how much time. */
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

/** Prefix of the paths by which nodes speak to upstreams, such as to cancel a call. */
const RESERVED_PREFIX = '/.lycheelane/';

/** What the check of a head needs of its node. */
export interface HeadParts {
  readonly config: ConfigStore;
  readonly members: Pick<MemberTable, 'getSelf'>;
  isLeaving(): boolean;
}

/** What the head of a request says. */
export interface CallHead {
  readonly routing: RoutingState;
  readonly route: CompiledRoute;
  readonly isForwarded: boolean;
  readonly depth: number;
  readonly deadlineMs: number;
}

function isProcess(target: CallTarget, self: { nodeId: string; incarnation: string }): boolean {
  return target.nodeId === self.nodeId && target.incarnation === self.incarnation;
}

/** While the node stops it still serves calls that upstreams make for requests in flight. */
function canServeWhileLeaving(isForwarded: boolean, depth: number): boolean {
  return !isForwarded && depth > 0;
}

/** Reads and checks the head of a request. Errors: the refusal to write. */
export function parseHead(
  request: IncomingMessage,
  parts: HeadParts,
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
