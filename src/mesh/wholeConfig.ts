/**
 * A whole version of the configuration, as one node sends it to another. A node with a
 * low-bandwidth link gets it deflated from a source that cannot send changes. It performs no I/O.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import type { ConfigVersion } from '../types/ids.js';
import { checkContent, type ConfigContent } from './configContent.js';
import { isAccountList } from './accounts/accountGuards.js';
import type { ClientAccount, MeshConfig } from './model.js';
import { buildRouteTable, mapRoutes } from './routeTable.js';

const STEP = 'config.restoreWhole';

/** One version with all its routes. */
export interface WholeConfig extends ConfigContent {
  readonly version: ConfigVersion;
  /** Revision of the stored object with this version; 0 if it is of an earlier era. */
  readonly revision: number;
  /** Number of routes, which detects routes that are missing or sent twice. */
  readonly routeCount: number;
  /** A node of an earlier build sends none, and may have accounts that it does not know. */
  readonly accounts: readonly ClientAccount[];
}

/** Builds the message for a version that is stored at `revision`. */
export function buildWhole(config: MeshConfig, revision: number): WholeConfig {
  const routes = [...mapRoutes(config).values()];
  const { version, limits, healthPaths, accounts = [] } = config;
  return { version, revision, routes, limits, healthPaths, routeCount: routes.length, accounts };
}

/** Restores the version of a message, which must be later than the installed version. */
export function restoreWhole(
  whole: WholeConfig,
  installedVersion: ConfigVersion,
): Result<MeshConfig, StepError> {
  const { version, routes, limits, healthPaths, routeCount, accounts } = whole;
  const refuse = (message: string) => err(buildError('invalid', STEP, 'peer', message));
  if (version <= installedVersion) {
    return refuse(`is version ${version}, installed is ${installedVersion}`);
  }
  const checked = checkContent(whole, STEP);
  if (checked.isErr()) return err(checked.error);
  const byName = new Map(routes.map((route) => [route.name, route]));
  if (byName.size !== routeCount || routes.length !== routeCount) {
    return refuse(`has ${byName.size} routes instead of ${routeCount}`);
  }
  if (!isAccountList(accounts)) return refuse('lacks the accounts');
  return ok({ version, routes: buildRouteTable(byName.values()), limits, healthPaths, accounts });
}
