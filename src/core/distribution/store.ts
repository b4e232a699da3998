/** Installed version, floor and readiness of a node. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, Refusal } from '../../generated/types.js';
import { NO_VERSION, type DataCentre } from '../../types/ids.js';
import type { ConfigStore, VersionTag } from '../../types/interfaces.js';
import type { RoutingState } from '../../types/routing.js';
import type { Logger } from '../../utils/logger.js';
import { createRecentBundles, type RecentBundles } from './recentBundles.js';
import { toTag, verifyBundle } from './verify.js';

/** Compiles a bundle for a site; implemented in `core/config`. */
export type Compile = (bundle: Bundle, site: DataCentre) => Result<RoutingState, StepError>;

/** Options of a configuration store. */
export interface ConfigStoreOptions {
  readonly site: DataCentre;
  readonly compile: Compile;
  readonly logger: Logger;
}

/** Sources that can confirm the floor of the mesh; any other source can only raise it. */
export type FloorSource = 'platform' | 'peers';

/** The configuration store with the members that only the distribution uses. */
export interface DistributionStore extends ConfigStore {
  readonly recentBundles: RecentBundles;
  /** True once the platform or a majority of peers has confirmed the floor. */
  isFloorKnown(): boolean;
  /**
   * Marks the floor as known and raises it, at start-up only. Version 0 means that no version has
   * been accepted. Later calls only correct the digest of the floor to that of the platform.
   */
  confirmFloor(tag: VersionTag, source: FloorSource): void;
  /** Records that a member enforces a version. */
  recordEnforced(tag: VersionTag): void;
  /**
   * Allows a starting node to serve below a floor that it refuses, unless a member is known to
   * enforce a higher version or the host enforced one before.
   */
  allowStartBelowRefused(): void;
  /** True when this version and digest was refused and need not be fetched again. */
  isRefused(tag: VersionTag): boolean;
  /** Returns the bundle of the last refusal, for members that have not checked it yet. */
  getRefusedBundle(): Bundle | undefined;
  /** Calls the listener after each refusal. */
  onRefuse(listener: () => void): void;
  /** Calls the listener when the floor rises. */
  onFloor(listener: (tag: VersionTag) => void): void;
  /** Calls the listener once, when the node becomes ready, or immediately if it is ready. */
  onReady(listener: () => void): void;
}

/** Maximum number of refused versions that are remembered, so that they are not fetched again. */
const MAX_REFUSED = 16;

/** Reasons quote names and values of the bundle, which are not limited in length. */
const MAX_REASON_LENGTH = 2000;

const NO_TAG: VersionTag = { version: NO_VERSION, digest: '' };

/** Creates a store without an installed version. */
export function createConfigStore(options: ConfigStoreOptions): DistributionStore {
  const { site, compile, logger } = options;
  const recentBundles = createRecentBundles();
  const installListeners: ((tag: VersionTag) => void)[] = [];
  const floorListeners: ((tag: VersionTag) => void)[] = [];
  let routing: RoutingState | undefined;
  let bundle: Bundle | undefined;
  let tag = NO_TAG;
  let floor = NO_TAG;
  let isFloorKnown = false;
  let hasStarted = false;
  let hostFloor = NO_TAG;
  const readyListeners: (() => void)[] = [];
  const refuseListeners: (() => void)[] = [];
  let refused: { readonly bundle: Bundle; readonly refusal: Refusal } | undefined;
  let refusedDigests: string[] = [];
  let highestEnforced = 0;
  let canStartBelowRefused = false;

  const isRefusedVersion = (version: number) =>
    refusedDigests.some((refusedDigest) => refusedDigest.startsWith(`${version} `));

  /**
   * True when this node refuses every version above its own up to the floor and no member is known
   * to enforce a higher version than this node.
   */
  const isFloorRefused = (): boolean => {
    if (!canStartBelowRefused || highestEnforced > tag.version) return false;
    for (let version: number = floor.version; version > tag.version; version -= 1) {
      if (!isRefusedVersion(version)) return false;
    }
    return true;
  };

  /**
   * The floor of the mesh affects readiness only at start-up: a ready node stays ready while it
   * fetches a newer version, or when it refuses one. The version that its host enforced before
   * applies at any time.
   */
  const updateReady = () => {
    if (hasStarted || !isFloorKnown || tag.version === 0) return;
    if (tag.version < floor.version && !isFloorRefused()) return;
    hasStarted = true;
    logger.info('node-ready', { version: tag.version });
    for (const listener of readyListeners.splice(0)) listener();
  };

  const raiseFloor = (raised: VersionTag, source: string) => {
    if (raised.version === floor.version && raised.version > 0 && raised.digest !== floor.digest) {
      const { version } = raised;
      logger.error('floor-digest-differs', { step: 'config.floor', peer: source, version });
      // The platform takes precedence: a faulty cookie must not block the accepted bundle.
      if (source === 'platform') floor = raised;
    }
    if (raised.version <= floor.version) return;
    floor = raised;
    logger.info('floor-raised', { version: raised.version, source });
    for (const listener of floorListeners) listener(raised);
  };

  const refuse = (candidate: Bundle, error: StepError) => {
    const { version, digest } = candidate;
    const { step, peer } = error;
    const reason = error.message.slice(0, MAX_REASON_LENGTH);
    refusedDigests = [...refusedDigests, `${version} ${digest}`].slice(-MAX_REFUSED);
    logger.error('config-refused', { step, peer, version, reason });
    if (!refused || version >= refused.refusal.version) {
      refused = { bundle: candidate, refusal: { version, digest, step, reason } };
      for (const listener of refuseListeners) listener();
    }
    updateReady();
    return err(error);
  };

  /** Returns the known digest of a version, if any. */
  const findDigest = (version: number): string | undefined => {
    if (floor.version === version && floor.digest !== '') return floor.digest;
    return recentBundles.findVersion(version)?.digest;
  };

  const install = (candidate: Bundle, source: string): Result<VersionTag, StepError> => {
    const step = 'config.install';
    const knownDigest = findDigest(candidate.version);
    if (knownDigest !== undefined && knownDigest !== candidate.digest) {
      const reason = `version ${candidate.version} is known with digest ${knownDigest}`;
      logger.error('config-digest-differs', { step, peer: source, version: candidate.version });
      return err(buildError('mismatch', step, source, reason));
    }
    if (candidate.version <= tag.version) {
      const reason = `version ${candidate.version} is not above ${tag.version}`;
      return err(buildError('stale', step, source, reason));
    }
    const verified = verifyBundle(candidate, source);
    if (verified.isErr()) return err(verified.error);
    const compiled = compile(candidate, site);
    if (compiled.isErr()) return refuse(candidate, compiled.error);
    routing = compiled.value;
    bundle = candidate;
    tag = toTag(candidate);
    if (refused && refused.refusal.version <= tag.version) refused = undefined;
    recentBundles.add(candidate);
    logger.info('config-installed', { version: tag.version, source });
    for (const listener of installListeners) listener(tag);
    updateReady();
    return ok(tag);
  };

  return {
    recentBundles,
    install,
    raiseFloor: (raised, source) => {
      if (raised.version > hostFloor.version) hostFloor = raised;
      raiseFloor(raised, source);
    },
    getRouting: () => routing,
    getTag: () => tag,
    getBundle: () => bundle,
    getFloor: () => floor,
    isFloorKnown: () => isFloorKnown,
    confirmFloor: (confirmed, source) => {
      // Later heads are announcements: a ready node fetches them while it continues to serve.
      const isCorrection = source === 'platform' && confirmed.version === floor.version;
      if (hasStarted && !isCorrection) return;
      isFloorKnown = true;
      raiseFloor(confirmed, source);
      updateReady();
    },
    isReady: () => hasStarted && tag.version >= hostFloor.version,
    onReady: (listener) => {
      if (hasStarted) listener();
      else readyListeners.push(listener);
    },
    recordEnforced: ({ version }) => {
      highestEnforced = Math.max(highestEnforced, version);
    },
    allowStartBelowRefused: () => {
      canStartBelowRefused = true;
      updateReady();
    },
    isRefused: ({ version, digest }) => refusedDigests.includes(`${version} ${digest}`),
    onFloor: (listener) => floorListeners.push(listener),
    onInstall: (listener) => installListeners.push(listener),
    getLastRefusal: () => refused?.refusal,
    getRefusedBundle: () => refused?.bundle,
    onRefuse: (listener) => refuseListeners.push(listener),
  };
}
