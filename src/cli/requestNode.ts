/** Client of a node's operator port. */
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { readLimitedText } from '../core/platform/readLimitedText.js';
import { buildError, toStepError, type StepError } from '../errors.js';

const REQUEST_TIMEOUT_MS = 5000;
/** 540 nodes at about 400 bytes each, with margin for growth and for long refusals. */
const MAX_ANSWER_BYTES = 4_194_304;

/** Maximum number of characters printed from an error response. */
const MAX_ERROR_LENGTH = 400;

/** URL and credentials of a node's operator port. */
export interface NodeTarget {
  readonly node: string | undefined;
  /** Required when the operator port is not on a loopback address. */
  readonly 'node-token'?: string | undefined;
}

/** Returns the error text of a node's response; undefined for responses of other servers. */
function findErrorText(text: string): string | undefined {
  try {
    const { error } = JSON.parse(text) as { error?: unknown };
    return typeof error === 'string' ? error.slice(0, MAX_ERROR_LENGTH) : undefined;
  } catch {
    return undefined;
  }
}

function describeUnexpectedAnswer(status: number, text: string): string {
  const quoted = text.trim().slice(0, MAX_ERROR_LENGTH);
  return `status ${status}: ${quoted}; is this the operator port of a node?`;
}

/**
 * Sends a GET request to a node's operator port. Errors: `unavailable` without a response,
 * `not-found` for an unknown name, `refused` for any other status, `invalid` for a body that is
 * not JSON.
 */
export async function requestNode<Answer>(
  target: NodeTarget,
  path: string,
): Promise<Result<Answer, StepError>> {
  const { node, 'node-token': token } = target;
  const step = `operator${path.split('?')[0]!.replaceAll('/', '.')}`;
  if (node === undefined || !/^https?:\/\//.test(node) || !URL.canParse(node)) {
    const message =
      node === undefined
        ? '--node is missing: give the URL of a node’s operator port, or set LYCHEELANE_NODE'
        : `--node is not a URL: ${node}; expected one such as http://127.0.0.1:7400`;
    return err(buildError('refused', 'config.node', 'self', message));
  }
  let text: string;
  try {
    const response = await request(new URL(path, node), {
      headers: token ? { authorization: `Bearer ${token}` } : {},
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    text = await readLimitedText(response.body, MAX_ANSWER_BYTES);
    if (response.statusCode !== 200) {
      const kind = response.statusCode === 404 ? 'not-found' : 'refused';
      // Only `explain` names a thing that a node may not know; other servers answer 404 as well.
      const isNodeError = response.statusCode !== 404 || path.startsWith('/v1/explain');
      const stated = isNodeError ? findErrorText(text) : undefined;
      const message = stated ?? describeUnexpectedAnswer(response.statusCode, text);
      return err(buildError(kind, step, node, message));
    }
  } catch (thrown) {
    const { message } = toStepError(thrown, step, node);
    return err(buildError('unavailable', step, node, message, thrown));
  }
  try {
    return ok(JSON.parse(text) as Answer);
  } catch (thrown) {
    return err(buildError('invalid', step, node, 'the answer is not JSON', thrown));
  }
}
