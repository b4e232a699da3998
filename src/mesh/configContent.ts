/**
 * Checks the parts of a configuration that another node has sent. That node may be of another
 * build, so its fields cannot be relied on. It performs no I/O.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import { isCallerLimits, isMeshRoute } from './configGuards.js';
import type { CallerLimits, MeshRoute } from './model.js';

/** Parts of a configuration that a node sends to another one. */
export interface ConfigContent {
  readonly routes: readonly MeshRoute[];
  readonly limits: CallerLimits;
}

/** Checks each route and the limits; the error names the first invalid part. */
export function checkContent(
  { routes, limits }: ConfigContent,
  step: string,
): Result<void, StepError> {
  const refuse = (part: string) => err(buildError('invalid', step, 'peer', `invalid ${part}`));
  const index = routes.findIndex((route) => !isMeshRoute(route));
  if (index >= 0) return refuse(`route at ${index}`);
  return isCallerLimits(limits) ? ok() : refuse('limits');
}
