/**
 * Differences between two versions of the configuration. A node with a low-bandwidth link gets them
 * from another node, so that a change costs bytes in proportion to the change and not to the
 * configuration. It performs no I/O.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import type { ConfigVersion, RouteName } from '../types/ids.js';
import { isCount } from '../utils/boundedValues.js';
import {
  applyAccountChanges,
  diffAccounts,
  mergeAccountChanges,
  type AccountChanges,
} from './accounts/accountChanges.js';
import { isAccountChanges } from './accounts/accountGuards.js';
import { checkContent, type ConfigContent } from './configContent.js';
import type { HealthPath, MeshConfig, MeshRoute, RouteTarget } from './model.js';
import { applyNamedChanges, mergeNamedChanges } from './namedChanges.js';
import { buildRouteTable, mapRoutes } from './routeTable.js';

const STEP = 'config.applyDelta';

/** Changes from one version to a later one; `routes` are those that were added or changed. */
export interface ConfigDelta extends ConfigContent {
  readonly fromVersion: ConfigVersion;
  readonly toVersion: ConfigVersion;
  /** Revision of the stored object with `toVersion`. */
  readonly revision: number;
  readonly removed: readonly RouteName[];
  /** Number of routes of `toVersion`, which detects a delta for another base. */
  readonly routeCount: number;
  /** A node of an earlier build sends none, and may have accounts that it does not know. */
  readonly accounts: AccountChanges;
}

function hasSameEntries<Entry>(
  before: readonly Entry[],
  after: readonly Entry[],
  isSame: (one: Entry, other: Entry) => boolean,
): boolean {
  return (
    before.length === after.length && before.every((entry, index) => isSame(entry, after[index]!))
  );
}

function isSameTarget(one: RouteTarget, other: RouteTarget): boolean {
  return one.service === other.service && one.weight === other.weight;
}

function isSameHealthPath(one: HealthPath, other: HealthPath): boolean {
  return one.service === other.service && one.path === other.path;
}

function isSameRoute(before: MeshRoute, after: MeshRoute): boolean {
  // Versions that a delta leads to share the routes that it does not change.
  if (before === after) return true;
  return (
    before.name === after.name &&
    before.host === after.host &&
    before.pathPrefix === after.pathPrefix &&
    before.isIdempotent === after.isIdempotent &&
    before.timeoutMs === after.timeoutMs &&
    before.objectiveMs === after.objectiveMs &&
    before.maxAttempts === after.maxAttempts &&
    before.priority === after.priority &&
    before.allowsAnonymous === after.allowsAnonymous &&
    hasSameEntries(before.targets, after.targets, isSameTarget)
  );
}

/** Returns the changes from `before` to `after`, which is stored at `revision`. */
export function diffConfigs(before: MeshConfig, after: MeshConfig, revision: number): ConfigDelta {
  const routesBefore = mapRoutes(before);
  const routes: MeshRoute[] = [];
  const routesAfter = mapRoutes(after);
  for (const [name, route] of routesAfter) {
    const known = routesBefore.get(name);
    if (!known || !isSameRoute(known, route)) routes.push(route);
  }
  const { healthPaths = [] } = after;
  const arePathsSame = hasSameEntries(before.healthPaths ?? [], healthPaths, isSameHealthPath);
  return {
    fromVersion: before.version,
    toVersion: after.version,
    revision,
    routes,
    removed: [...routesBefore.keys()].filter((name) => !routesAfter.has(name)),
    limits: after.limits,
    healthPaths: arePathsSame ? undefined : after.healthPaths,
    routeCount: routesAfter.size,
    accounts: diffAccounts(before.accounts ?? [], after.accounts ?? []),
  };
}

/** Combines the changes of two successive deltas. */
export function mergeDeltas(first: ConfigDelta, second: ConfigDelta): ConfigDelta {
  const { changed, removed } = mergeNamedChanges(
    { changed: first.routes, removed: first.removed },
    { changed: second.routes, removed: second.removed },
  );
  return {
    ...second,
    fromVersion: first.fromVersion,
    healthPaths: second.healthPaths ?? first.healthPaths,
    routes: changed,
    removed,
    accounts: mergeAccountChanges(first.accounts, second.accounts),
  };
}

/** Applies a delta to the version that it starts from. */
export function applyDelta(base: MeshConfig, delta: ConfigDelta): Result<MeshConfig, StepError> {
  const refuse = (message: string) => err(buildError('invalid', STEP, 'peer', message));
  if (base.version !== delta.fromVersion) {
    return refuse(`starts from version ${delta.fromVersion}, installed is ${base.version}`);
  }
  if (!isCount(delta.toVersion) || delta.toVersion <= base.version) {
    return refuse(`leads to version ${delta.toVersion}, installed is ${base.version}`);
  }
  const checked = checkContent(delta, STEP);
  if (checked.isErr()) return err(checked.error);
  const changes = { changed: delta.routes, removed: delta.removed };
  const byName = applyNamedChanges(mapRoutes(base), changes);
  if (byName.size !== delta.routeCount) {
    return refuse(`results in ${byName.size} routes instead of ${delta.routeCount}`);
  }
  if (!isAccountChanges(delta.accounts)) return refuse('lacks the changes of accounts');
  const accounts = applyAccountChanges(base.accounts ?? [], delta.accounts);
  if (!accounts) return refuse(`does not result in ${delta.accounts.count} accounts`);
  const routes = buildRouteTable(byName.values());
  const { toVersion: version, limits, healthPaths = base.healthPaths } = delta;
  return ok({ version, routes, limits, healthPaths, accounts });
}
