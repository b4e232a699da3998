/** Explains which node would get the next call of a route, and why the others would not. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import { brandText, type RouteName } from '../../types/ids.js';
import type { ConfigStore, MemberView } from '../../types/interfaces.js';
import { suggestName } from '../config/suggestName.js';
import { listCandidates, type Candidate, type Exclusion } from './candidates.js';
import { chooseCandidate } from './choose.js';
import type { EntryParts } from './entry.js';
import type { SpillOverReason } from './observer.js';

/** Why an eligible node would not be chosen. */
export type NotChosenReason = 'full' | 'farther' | 'not-least-loaded';

/** A node of the service in an explanation. */
export interface ExplainedNode {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly instances: readonly string[];
  readonly reason: 'chosen' | Exclusion | NotChosenReason;
  /** Pending calls per slot, divided by the warm-up weight; absent on excluded nodes. */
  readonly score?: number;
  /** Share of the regular load during warm-up; absent on excluded nodes. */
  readonly weight?: number;
}

/** Explanation of a route. */
export interface RouteExplanation {
  readonly route: string;
  readonly service: string;
  readonly version: number;
  /** Least loaded node; an actual call takes the less loaded of two random nodes of its group. */
  readonly chosen: string | undefined;
  readonly spillOver: SpillOverReason | undefined;
  readonly nodes: readonly ExplainedNode[];
}

function findNotChosenReason(candidate: Candidate, group: readonly Candidate[]): NotChosenReason {
  if (group.includes(candidate)) return 'not-least-loaded';
  return candidate.isFull ? 'full' : 'farther';
}

function describeNode(view: MemberView, service: string) {
  const { nodeId, dataCentre, instances } = view.record;
  const ofService = instances.filter((instance) => instance.service === service);
  return { nodeId, dataCentre, instances: ofService.map((instance) => instance.instanceId) };
}

/** Explains the named route. Error kinds: `not-found`, `unavailable`. */
export function explainRoute(
  name: string,
  config: ConfigStore,
  parts: EntryParts,
): Result<RouteExplanation, StepError> {
  const step = 'calls.explain';
  const routing = config.getRouting();
  if (!routing) {
    return err(buildError('unavailable', step, 'self', 'the node has no configuration yet'));
  }
  const route = routing.routes.get(brandText<RouteName>(name));
  if (!route) {
    const nearest = suggestName(name, [...routing.routes.keys()]);
    const suggestion = nearest === undefined ? '' : `; did you mean ${nearest}?`;
    return err(buildError('not-found', step, 'self', `no route named ${name}${suggestion}`));
  }
  const service = route.service.name;
  const nodes: ExplainedNode[] = [];
  const candidates = listCandidates(route, parts, undefined, performance.now(), (view, reason) =>
    nodes.push({ ...describeNode(view, service), reason }),
  );
  candidates.sort((a, b) => a.score - b.score || Number(b.isSelf) - Number(a.isSelf));
  const choice = chooseCandidate(candidates, () => 0);
  const group = candidates.filter(
    ({ distance, isFull }) =>
      distance === choice?.candidate.distance && isFull === choice.candidate.isFull,
  );
  const [best] = group;
  for (const candidate of candidates) {
    const { view, score, weight } = candidate;
    const reason = candidate === best ? 'chosen' : findNotChosenReason(candidate, group);
    nodes.push({ ...describeNode(view, service), reason, score, weight });
  }
  return ok({
    route: name,
    service,
    version: routing.version,
    chosen: best?.view.record.nodeId,
    spillOver: choice?.spillOver,
    nodes,
  });
}
