/** Explains to operators which node would get the next call of a route, and why not the others. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import { brandText, type RouteName } from '../../types/ids.js';
import type { ConfigStore, MemberView } from '../../types/interfaces.js';
import { suggestName } from '../config/suggestName.js';
import { listCandidates, type Candidate, type Exclusion } from './candidates.js';
import { chooseCandidate } from './choose.js';
import type { EntryParts } from './entry.js';
import type { SpillOverReason } from './observer.js';

/** Why a usable node is not the one that would be chosen. */
export type Disadvantage = 'full' | 'farther' | 'not-least-loaded';

/** A node of the service in an explanation. */
export interface ExplainedNode {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly instances: readonly string[];
  readonly reason: 'chosen' | Exclusion | Disadvantage;
  /** Held calls for each slot, divided by the warm-up weight; absent on excluded nodes. */
  readonly score?: number;
  /** Share of the ordinary load during warm-up; absent on excluded nodes. */
  readonly weight?: number;
}

/** Explanation of a route. */
export interface RouteExplanation {
  readonly route: string;
  readonly service: string;
  readonly version: number;
  /** Node with the least load; a call takes the better of two random ones of its group. */
  readonly chosen: string | undefined;
  readonly spillOver: SpillOverReason | undefined;
  readonly nodes: readonly ExplainedNode[];
}

function findDisadvantage(candidate: Candidate, group: readonly Candidate[]): Disadvantage {
  if (group.includes(candidate)) return 'not-least-loaded';
  return candidate.isFull ? 'full' : 'farther';
}

function describeNode(view: MemberView, service: string) {
  const { nodeId, dataCentre, instances } = view.record;
  const own = instances.filter((instance) => instance.service === service);
  return { nodeId, dataCentre, instances: own.map((instance) => instance.instanceId) };
}

/** Explains the route of this name; error kinds `not-found` and `unavailable`. */
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
    const question = nearest === undefined ? '' : `; did you mean ${nearest}?`;
    return err(buildError('not-found', step, 'self', `no route named ${name}${question}`));
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
    const reason = candidate === best ? 'chosen' : findDisadvantage(candidate, group);
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
