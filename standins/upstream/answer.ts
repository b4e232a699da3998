/** Response bodies of the upstream stand-in, whose integrity a caller can check. */

/** Result of a nested call, as reported in the answer. */
export interface NestedResult {
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
}

/** Parsed body of an answer. */
export interface UpstreamAnswer {
  readonly callId: string;
  readonly instanceId: string;
  /** Number of runs of this call id in this process, including this one. */
  readonly run: number;
  /** Length of `filling` in characters. */
  readonly length: number;
  /** The call id repeated up to `length`. */
  readonly filling: string;
  readonly nested?: NestedResult;
}

/** Result of the integrity check of a body. */
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

/** Checks that a body is the complete answer to the call `callId`. */
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
