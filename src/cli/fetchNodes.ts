/** Client of a node's operator port. */
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { readLimitedText } from '../core/platform/readLimitedText.js';
import { buildError, toStepError, type StepError } from '../errors.js';
import type { NodesAnswer } from '../generated/types.js';
import { validateNodesAnswer } from '../generated/validators.js';

const STEP = 'operator.nodes';
const REQUEST_TIMEOUT_MS = 5000;
/** About 400 bytes for each of 540 nodes, with room for growth and for long refusals. */
const MAX_ANSWER_BYTES = 4_194_304;

/** Reads what a node knows of all nodes; `token` is needed when its port is not on loopback. */
export async function fetchNodes(
  nodeUrl: string,
  token?: string,
): Promise<Result<NodesAnswer, StepError>> {
  try {
    const response = await request(new URL('/v1/nodes?scope=all', nodeUrl), {
      headers: token ? { authorization: `Bearer ${token}` } : {},
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await readLimitedText(response.body, MAX_ANSWER_BYTES);
    if (response.statusCode !== 200) {
      const message = `status ${response.statusCode}: ${text.slice(0, 200)}`;
      return err(buildError('refused', STEP, nodeUrl, message));
    }
    const answer: unknown = JSON.parse(text);
    if (validateNodesAnswer(answer)) return ok(answer as NodesAnswer);
    const [fault] = validateNodesAnswer.errors ?? [];
    const message = `malformed answer: ${fault?.instancePath ?? ''} ${fault?.message ?? ''}`;
    return err(buildError('invalid', STEP, nodeUrl, message));
  } catch (thrown) {
    return err(toStepError(thrown, STEP, nodeUrl));
  }
}
