/** Bodies of the upstream stand-in, from which a caller can check identity and wholeness. */

/** Result of a nested call as the answer reports it. */
export interface NestedResult {
  /** 0 when there was no response. */
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
}

/** Parsed body of an answer. */
export interface UpstreamAnswer {
  readonly callId: string;
  readonly instanceId: string;
  /** Runs of this call id in this process, this one included. */
  readonly run: number;
  /** Length of `filling` in characters. */
  readonly length: number;
  /** The call id repeated up to `length`. */
  readonly filling: string;
  readonly nested?: NestedResult;
}

/** What a caller finds about a body. */
export type AnswerCheck = 'whole' | 'truncated' | 'crossed';

function buildFilling(callId: string, length: number): string {
  return `${callId}|`.repeat(Math.ceil(length / (callId.length + 1))).slice(0, length);
}

/** Builds the body of an answer with a filling of `length` characters. */
export function buildAnswer(
  callId: string,
  instanceId: string,
  run: number,
  length: number,
  nested?: NestedResult,
): string {
  const filling = buildFilling(callId, length);
  const answer: UpstreamAnswer = { callId, instanceId, run, length, nested, filling };
  return JSON.stringify(answer);
}

/** Checks that a body is the whole answer to the call that it is taken for. */
export function checkAnswer(body: string, callId: string): AnswerCheck {
  let answer: Partial<UpstreamAnswer>;
  try {
    answer = JSON.parse(body) as Partial<UpstreamAnswer>;
  } catch {
    return 'truncated';
  }
  if (answer.callId !== callId) return 'crossed';
  const { filling = '', length = -1 } = answer;
  if (filling.length !== length) return 'truncated';
  return filling === buildFilling(callId, length) ? 'whole' : 'crossed';
}
