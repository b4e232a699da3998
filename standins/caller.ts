/** A caller of the mesh that judges each response: outcome, wholeness and identity. */
import { Agent, request } from 'undici';
import { CALL_HEADERS } from '../src/types/outcome.js';
import { checkAnswer, type AnswerCheck } from './upstream/answer.js';

/** One request to the call port of a node. */
export interface CallPlan {
  /** Address of the entry node's call port. */
  readonly entryUrl: string;
  readonly authority: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  /** Identifies this request; the upstream counts runs by it. */
  readonly callId: string;
  /** Length of the answer's filling. */
  readonly length?: number;
  /** Levels of nested calls. */
  readonly depth?: number;
}

/** What the caller got. */
export type CallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly check: AnswerCheck;
      /** Configuration version of the entry node for this call; 0 when not stated. */
      readonly version: number;
    }
  | {
      readonly kind: 'notRun' | 'unknown';
      readonly status: number;
      readonly reason: string;
      /** Text of the refusal; present only if the caller was created to keep it. */
      readonly detail?: string;
    }
  /** The connection could not be made, so nothing was sent. */
  | { readonly kind: 'unsent'; readonly reason: string }
  /** The connection ended before the response did. */
  | { readonly kind: 'broken'; readonly reason: string };

/** A caller with its own connections. */
export interface Caller {
  send(plan: CallPlan): Promise<CallResult>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 2_000;
const ANSWER_TIMEOUT_MS = 30_000;

function describeError(thrown: unknown): string {
  const { code, message } = thrown as { code?: string; message?: string };
  return code ?? message ?? String(thrown);
}

/** What a caller keeps of responses. */
export interface CallerOptions {
  /** Keeps the text of refusals. */
  readonly keepsDetail?: boolean;
}

/** Creates a caller. Each call has a connection of its own, so a closed one is never a race. */
export function createCaller({ keepsDetail = false }: CallerOptions = {}): Caller {
  const agent = new Agent({
    pipelining: 0,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: ANSWER_TIMEOUT_MS,
    bodyTimeout: ANSWER_TIMEOUT_MS,
  });

  const buildHeaders = (plan: CallPlan): Record<string, string> => {
    const headers: Record<string, string> = { host: plan.authority, 'x-call-id': plan.callId };
    if (plan.length !== undefined) headers['x-answer-length'] = String(plan.length);
    if (plan.depth !== undefined) headers['x-call-depth'] = String(plan.depth);
    return headers;
  };

  const send = async (plan: CallPlan): Promise<CallResult> => {
    try {
      const answer = await request(plan.entryUrl + plan.path, {
        dispatcher: agent,
        method: plan.method,
        headers: buildHeaders(plan),
        body: plan.method === 'POST' || plan.method === 'PUT' ? '{"pads":1}' : undefined,
      });
      const text = await answer.body.text();
      const outcome = answer.headers[CALL_HEADERS.outcome]?.toString();
      const reason = answer.headers[CALL_HEADERS.reason]?.toString() ?? '';
      const status = answer.statusCode;
      if (outcome !== undefined) {
        const kind = outcome === 'not-run' ? 'notRun' : 'unknown';
        return { kind, status, reason, ...(keepsDetail && { detail: text.trim() }) };
      }
      const version = Number(answer.headers[CALL_HEADERS.version] ?? 0);
      const isBodyOfAnswer = status === 200 || status === 502;
      const check = isBodyOfAnswer ? checkAnswer(text, plan.callId) : 'whole';
      return { kind: 'answered', status, check, version };
    } catch (thrown) {
      const reason = describeError(thrown);
      // A connection that waits to be accepted when its port closes is reset while it connects.
      const isConnecting = (thrown as { syscall?: string }).syscall === 'connect';
      const isUnsent = isConnecting || reason === 'UND_ERR_CONNECT_TIMEOUT';
      return { kind: isUnsent ? 'unsent' : 'broken', reason };
    }
  };

  return {
    send,
    close: () => agent.destroy(),
  };
}
