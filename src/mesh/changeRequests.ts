/** Recognizes and answers the requests of other nodes for changes. */
import { decodeConfigRequest, encodeConfigAnswer, type ConfigAnswers } from './configAnswers.js';
import { encodeDeflated } from './deflatedJson.js';
import { getHeader } from './headers.js';
import { decodeNodesRequest, type NodeAnswers } from './nodeAnswers.js';
import { CONFIG_HEADER, NODES_HEADER } from './peerMessages.js';

/** Parts that know the changes. */
export interface ChangeAnswers {
  readonly configAnswers: Pick<ConfigAnswers, 'answer'>;
  readonly nodeAnswers: Pick<NodeAnswers, 'answer'>;
}

/** Body of the answer, `malformed`, or undefined when the message asks for no changes. */
export type ChangeReply = Promise<Buffer> | 'malformed' | undefined;

/** Answers a message with these headers if it is a request for changes. */
export function answerChangeRequest(
  headers: readonly string[],
  { configAnswers, nodeAnswers }: ChangeAnswers,
): ChangeReply {
  const configText = getHeader(headers, CONFIG_HEADER);
  if (configText !== undefined) {
    const request = decodeConfigRequest(configText);
    return request ? configAnswers.answer(request).then(encodeConfigAnswer) : 'malformed';
  }
  const nodesText = getHeader(headers, NODES_HEADER);
  if (nodesText === undefined) return undefined;
  const request = decodeNodesRequest(nodesText);
  return request ? nodeAnswers.answer(request).then(encodeDeflated) : 'malformed';
}
