/** Nested calls of an upstream stand-in through the call port of its local node. */
import type { IncomingMessage } from 'node:http';
import { Agent, request } from 'undici';
import type { NestedResult } from './answer.js';

const CONNECT_TIMEOUT_MS = 2_000;

/** Headers with which a caller of the stand-in requests nested calls. */
export const NESTED_HEADERS = {
  /** Number of call levels below this call. */
  depth: 'x-call-depth',
  /** Path of the nested calls; defaults to the path of the request. */
  path: 'x-call-path',
} as const;

/** Result of a nested call with its retry header, which is passed on to the outer levels. */
export interface NestedOutcome extends NestedResult {
  readonly retry: string | undefined;
}

/** Returns the number of call levels below a request, from its header or its query `depth`. */
export function parseDepth(incoming: IncomingMessage): number {
  const query = new URL(incoming.url ?? '/', 'http://upstream').searchParams.get('depth');
  const text = incoming.headers[NESTED_HEADERS.depth]?.toString() ?? query ?? '0';
  return /^\d{1,2}$/.test(text) ? Number(text) : 0;
}

function getText(value: string | string[] | undefined): string {
  return value?.toString() ?? '';
}

/** Creates the client of an upstream for its local node. */
export function createNestedCaller(callUrl: string) {
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  /** Sends the nested call of `incoming`; the status is 0 if the call fails without a response. */
  const requestNested = async (
    incoming: IncomingMessage,
    callId: string,
    depth: number,
    remainingMs: number | undefined,
    signal: AbortSignal,
  ): Promise<NestedOutcome> => {
    const path = getText(incoming.headers[NESTED_HEADERS.path]) || (incoming.url ?? '/');
    const headers: Record<string, string> = {
      // Each level has its own id, so that runs are counted for each level.
      'x-call-id': `${callId}.${depth}`,
      [NESTED_HEADERS.depth]: String(depth - 1),
      [NESTED_HEADERS.path]: path,
    };
    const { host, 'lycheelane-depth': nestedDepth } = incoming.headers;
    if (host !== undefined) headers.host = host;
    if (nestedDepth !== undefined) headers['lycheelane-depth'] = getText(nestedDepth);
    if (remainingMs !== undefined) {
      headers['lycheelane-deadline-ms'] = String(Math.max(1, Math.floor(remainingMs)));
    }
    try {
      const answer = await request(callUrl + path, {
        dispatcher: agent,
        method: 'GET',
        headers,
        signal,
      });
      await answer.body.text();
      return {
        status: answer.statusCode,
        outcome: getText(answer.headers['lycheelane-outcome']),
        reason: getText(answer.headers['lycheelane-reason']),
        retry: answer.headers['lycheelane-retry']?.toString(),
      };
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      return { status: 0, outcome: '', reason, retry: undefined };
    }
  };

  return { request: requestNested, close: () => agent.destroy() };
}
