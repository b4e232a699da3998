/**
 * Checks the parts of a configuration that another node has sent. That node may be of another
 * build, so its fields cannot be relied on. It performs no I/O.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import { isCallerLimits, isHealthPath, isMeshRoute } from './configGuards.js';
import type { CallerLimits, HealthPath, MeshRoute } from './model.js';

/** Parts of a configuration that a node sends to another one. */
export interface ConfigContent {
  readonly routes: readonly MeshRoute[];
  readonly limits: CallerLimits;
  /** Undefined if they are unchanged, or if the node is of an earlier build. */
  readonly healthPaths?: readonly HealthPath[] | undefined;
}

/** Checks each route and the limits; the error names the first invalid part. */
export function checkContent(
  { routes, limits, healthPaths = [] }: ConfigContent,
  step: string,
): Result<void, StepError> {
  const refuse = (part: string) => err(buildError('invalid', step, 'peer', `invalid ${part}`));
  const index = routes.findIndex((route) => !isMeshRoute(route));
  if (index >= 0) return refuse(`route at ${index}`);
  if (!isCallerLimits(limits)) return refuse('limits');
  const areUsable = Array.isArray(healthPaths) && healthPaths.every(isHealthPath);
  return areUsable ? ok() : refuse('health paths');
}
