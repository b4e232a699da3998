/** Answers the reports of other nodes that arrive at the peer port. */
import type { IncomingMessage } from 'node:http';
import { getHeader } from '../headers.js';
import { CLOCK_HEADER, COORDINATOR_HEADER, decodeSentTime } from '../peerMessages.js';
import { readBody, type BodyError } from '../readBody.js';
import type { Coordinator } from './coordinator.js';
import { decodeReport, encodeAnswer, isInBody, type EncodedMessage } from './reportCodec.js';

/** Age from which the sender of a report has given it up. */
const MAX_AGE_MS = 250;

/** Limit on the body of a report; 1,000 accounts with needs are some 20 KB. */
const MAX_BODY_BYTES = 1024 * 1024;

const EMPTY_BODY = Buffer.alloc(0);

/** The coordinator of this node. */
export interface ReportAnswers {
  readonly coordinator: Pick<Coordinator, 'answer'>;
  /** Returns false while this node is starting or stopping. */
  readonly isAnswering: () => boolean;
}

/** Answer, or the status of a refusal. */
export type ReportReply = EncodedMessage | { readonly status: 400 | 503 };

/**
 * Reads the body of a report. The host of a sender may be gone without the end of its connection,
 * which would then stay open with what has come of the body.
 */
async function readReportBody(message: IncomingMessage): Promise<Buffer | BodyError> {
  const timer = setTimeout(() => message.destroy(), MAX_AGE_MS);
  const body = await readBody(message, MAX_BODY_BYTES);
  clearTimeout(timer);
  return body;
}

/** Answers a message that arrived at `receivedAtMs`; undefined if it is no report. */
export function answerReport(
  message: IncomingMessage,
  { coordinator, isAnswering }: ReportAnswers,
  clockId: string,
  receivedAtMs: number,
): Promise<ReportReply> | undefined {
  const headers = message.rawHeaders;
  const text = getHeader(headers, COORDINATOR_HEADER);
  if (text === undefined) return undefined;
  const reply = async (): Promise<ReportReply> => {
    if (!isInBody(text)) message.resume();
    const body = isInBody(text) ? await readReportBody(message) : EMPTY_BODY;
    const report = typeof body === 'string' ? undefined : await decodeReport(text, body);
    if (!report) return { status: 400 };
    if (!isAnswering()) return { status: 503 };
    const sent = decodeSentTime(getHeader(headers, CLOCK_HEADER), clockId, receivedAtMs);
    const nowMs = performance.now();
    const ageMs = sent.kind === 'known' ? nowMs - sent.atMs : undefined;
    if (ageMs !== undefined && ageMs > MAX_AGE_MS) return { status: 503 };
    return encodeAnswer(coordinator.answer(report, nowMs, ageMs));
  };
  return reply();
}
