/** The head of a request on the call port: which route, which key, how much time. */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { Call } from '../../types/calls.js';
import type { ConfigStore, MemberTable } from '../../types/interfaces.js';
import { CALL_HEADERS } from '../../types/outcome.js';
import type { CompiledRoute, RoutingState } from '../../types/routing.js';
import { parseCallKey } from './callKey.js';
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
  const depth = parseDepth(headers);
  if (depth.isErr()) return err(depth.error);
  const route = findRoute(request, path.value, routing, isForwarded);
  if (route.isErr()) return err(route.error);
  const { repeatability, timeoutMs } = route.value.config;
  const key = parseCallKey(headers[CALL_HEADERS.key], repeatability === 'once');
  if (key.isErr()) return err(key.error);
  const budgetMs = parseBudgetMs(headers, timeoutMs);
  if (budgetMs.isErr()) return err(budgetMs.error);
  if (parts.isLeaving() && !canServeWhileLeaving(isForwarded, key.value, depth.value)) {
    return refuse('leaving', `${self.nodeId} is stopping`);
  }
  if (budgetMs.value === 0) return refuse('deadline', 'no time left');
  return ok({
    routing,
    route: route.value,
    isForwarded,
    key: key.value,
    depth: depth.value,
    deadlineMs: startMs + budgetMs.value,
  });
}
