/** Nested calls of an upstream stand-in through the call port of its own node. */
import type { IncomingMessage } from 'node:http';
import { Agent, request } from 'undici';
import type { NestedResult } from './answer.js';

/** Headers by which a caller of the stand-in asks for nested calls. */
export const NESTED_HEADERS = {
  /** Levels of calls below this one. */
  depth: 'x-call-depth',
  /** Path of the nested calls; that of the request when absent. */
  path: 'x-call-path',
} as const;

/** Result of a nested call together with its retry mark, which outer levels must see. */
export interface NestedOutcome extends NestedResult {
  readonly retry: string | undefined;
}

/** Returns the number of levels below a request, from its header or its query `depth`. */
export function parseDepth(incoming: IncomingMessage): number {
  const query = new URL(incoming.url ?? '/', 'http://upstream').searchParams.get('depth');
  const text = incoming.headers[NESTED_HEADERS.depth]?.toString() ?? query ?? '0';
  return /^\d{1,2}$/.test(text) ? Number(text) : 0;
}

function getText(value: string | string[] | undefined): string {
  return value?.toString() ?? '';
}

/** Creates the client of an upstream for its own node. */
export function createNestedCaller(callUrl: string) {
  const agent = new Agent({ connect: { timeout: 2_000 } });

  /** Makes the nested call below `incoming`; an unreachable node gives status 0. */
  const requestNested = async (
    incoming: IncomingMessage,
    callId: string,
    depth: number,
    remainingMs: number | undefined,
    signal: AbortSignal,
  ): Promise<NestedOutcome> => {
    const path = getText(incoming.headers[NESTED_HEADERS.path]) || (incoming.url ?? '/');
    const headers: Record<string, string> = {
      // The id of each level differs, so that run counts per id stay meaningful.
      'x-call-id': `${callId}.${depth}`,
      [NESTED_HEADERS.depth]: String(depth - 1),
      [NESTED_HEADERS.path]: path,
    };
    const { host, 'lycheelane-depth': level } = incoming.headers;
    if (host !== undefined) headers.host = host;
    if (level !== undefined) headers['lycheelane-depth'] = getText(level);
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
