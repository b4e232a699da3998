/**
 * Checks the parts of a configuration that another node has sent. That node may be of another
 * build, so its fields cannot be relied on. It performs no I/O.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import type { CallerLimits, MeshRoute } from './model.js';

type Fields<Value> = Partial<Record<keyof Value, unknown>> | null | undefined;

function isText(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}

function isAmount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isTarget(value: unknown): boolean {
  const target = value as Fields<MeshRoute['targets'][number]>;
  return isText(target?.service) && isAmount(target?.weight);
}

function isRoute(value: unknown): value is MeshRoute {
  const route = value as Fields<MeshRoute>;
  if (!route) return false;
  const { name, host, pathPrefix, targets, isIdempotent } = route;
  const { timeoutMs, objectiveMs, maxAttempts, priority } = route;
  return (
    [name, host, pathPrefix].every(isText) &&
    [timeoutMs, objectiveMs, maxAttempts, priority].every(isAmount) &&
    typeof isIdempotent === 'boolean' &&
    Array.isArray(targets) &&
    targets.every(isTarget)
  );
}

function isLimits(value: unknown): value is CallerLimits {
  const limits = value as Fields<CallerLimits>;
  if (!limits) return false;
  const { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs } = limits;
  return [maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs].every(isAmount);
}

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
  const index = routes.findIndex((route) => !isRoute(route));
  if (index >= 0) return refuse(`route at ${index}`);
  return isLimits(limits) ? ok() : refuse('limits');
}
