/** Followers of the configuration and of the node records. */
import type { StepError } from '../errors.js';
import {
  ChangeFollower,
  type ChangeFollowerOptions,
  type FollowedChanges,
} from './changeFollower.js';
import type { ConfigFetcher } from './configFetcher.js';
import type { SourceNode } from './configSources.js';
import type { KindPosition } from './kindPosition.js';
import type { NodesAnswer } from './nodeAnswers.js';
import type { PeerNode } from './peerNode.js';

/** Time for which a source may wait for a change of the node records. */
const NODES_WAIT_MS = 2000;

/** A node that can be asked for changes. */
export type CallableSource = SourceNode & Pick<PeerNode, 'calls'>;

/** A follower of callable sources. */
export type NodeFollower = ChangeFollower<CallableSource>;

type CommonOptions = Omit<ChangeFollowerOptions<CallableSource>, 'request'>;

/** Returns what the choice of sources needs to know of a node. */
export function toSourceNode({ record, calls }: PeerNode): CallableSource {
  const { nodeId, dataCentre, linkMbps = 0 } = record;
  return { nodeId, dataCentre, linkMbps, calls };
}

/** Creates a follower whose changes the fetcher installs as they arrive. */
export function createConfigFollower(
  options: CommonOptions,
  fetcher: Pick<ConfigFetcher, 'follow'>,
): NodeFollower {
  const request: ChangeFollowerOptions<CallableSource>['request'] = async (
    { calls },
    revision,
    interruption,
  ) => {
    const reached = await fetcher.follow(calls, revision, interruption);
    if (reached === undefined || reached === 'store-lost') return reached;
    return { kind: 'changes', changes: { events: [], revision: reached } };
  };
  return new ChangeFollower({ ...options, request });
}

function toFollowedChanges(
  answer: NodesAnswer,
  revision: number,
): FollowedChanges | 'store-lost' | undefined {
  switch (answer.kind) {
    case 'unknown':
      return answer.hasLostStore === true ? 'store-lost' : undefined;
    case 'changes':
      return answer.revision < revision ? undefined : { kind: 'changes', changes: answer };
    case 'list':
      return answer.revision < revision ? undefined : { kind: 'list', list: answer };
    default:
      throw new Error(`unknown answer ${JSON.stringify(answer satisfies never)}`);
  }
}

/** Creates a follower of the node records. */
export function createNodesFollower(
  options: CommonOptions,
  position: Pick<KindPosition, 'getEra'>,
): NodeFollower {
  const logInvalid = ({ step, peer, message }: StepError) =>
    options.log.write('warn', 'nodes-answer-invalid', { step, peer, reason: message });
  const request: ChangeFollowerOptions<CallableSource>['request'] = async (
    { calls },
    revision,
    interruption,
  ) => {
    const poll = { revision, era: position.getEra(), waitMs: NODES_WAIT_MS };
    const answer = await calls.requestNodes(poll, logInvalid, interruption);
    return answer && toFollowedChanges(answer, revision);
  };
  return new ChangeFollower({ ...options, request });
}
