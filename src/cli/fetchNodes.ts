import { err, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import type { NodesAnswer } from '../generated/types.js';
import { validateNodesAnswer } from '../generated/validators.js';
import { requestNode, type NodeTarget } from './requestNode.js';

/** Fetches the state of all nodes as known to one node. */
export async function fetchNodes(target: NodeTarget): Promise<Result<NodesAnswer, StepError>> {
  const answer = await requestNode<NodesAnswer>(target, '/v1/nodes?scope=all');
  if (answer.isErr() || validateNodesAnswer(answer.value)) return answer;
  const [fault] = validateNodesAnswer.errors ?? [];
  const message = `malformed answer: ${fault?.instancePath ?? ''} ${fault?.message ?? ''}`;
  return err(buildError('invalid', 'operator.nodes', target.node ?? 'self', message));
}
