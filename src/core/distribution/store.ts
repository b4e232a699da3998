/** Installed version, floor and readiness of a node. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, Refusal } from '../../generated/types.js';
import { NO_VERSION, type DataCentre } from '../../types/ids.js';
import type { ConfigStore, VersionTag } from '../../types/interfaces.js';
import type { RoutingState } from '../../types/routing.js';
import type { Logger } from '../../utils/logger.js';
import { createHeldBundles, type HeldBundles } from './held.js';
import { toTag, verifyBundle } from './verify.js';

/** Compiles a bundle for a site; written in `core/config`. */
export type Compile = (bundle: Bundle, site: DataCentre) => Result<RoutingState, StepError>;

/** Parts that a configuration store uses. */
export interface ConfigStoreOptions {
  readonly site: DataCentre;
  readonly compile: Compile;
  readonly logger: Logger;
}

/** Sources of a floor that speak for the whole mesh; any other source only raises the floor. */
export type FloorSource = 'platform' | 'peers';

/** The store with what only the distribution needs. */
export interface DistributionStore extends ConfigStore {
  readonly held: HeldBundles;
  /** True once the platform or a majority of peers has told the floor. */
  isFloorKnown(): boolean;
  /**
   * Notes that the floor is known and raises it, at start-up only. Version 0 means that nothing
   * was accepted. Later calls have no effect but for the platform's digest of the floor.
   */
  confirmFloor(tag: VersionTag, source: FloorSource): void;
  /** Records that a member enforces a version. */
  recordEnforced(tag: VersionTag): void;
  /**
   * Lets a node that has not started serve below a floor that it refuses, unless a member is known
   * to enforce a higher version or its host did.
   */
  allowStartBelowRefused(): void;
  /** True when this very version was refused, so that fetching it again is pointless. */
  isRefused(tag: VersionTag): boolean;
  /** Bundle of the last refusal, for members that have not judged it yet. */
  getRefusedBundle(): Bundle | undefined;
  /** Calls the listener after each refusal. */
  onRefuse(listener: () => void): void;
  /** Calls the listener when the floor rises. */
  onFloor(listener: (tag: VersionTag) => void): void;
  /** Calls the listener once, when the node becomes ready, or at once if it is. */
  onReady(listener: () => void): void;
}

/** Refused versions remembered, so that they are not fetched again. */
const MAX_REFUSED = 16;

/** Reasons quote names and values of the bundle, which have no limit of their own. */
const MAX_REASON_LENGTH = 2000;

const NO_TAG: VersionTag = { version: NO_VERSION, digest: '' };

/** Creates a store that holds nothing. */
export function createConfigStore(options: ConfigStoreOptions): DistributionStore {
  const { site, compile, logger } = options;
  const held = createHeldBundles();
  const listeners: ((tag: VersionTag) => void)[] = [];
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
  let mayStartBelowRefused = false;

  const isRefusedVersion = (version: number) =>
    refusedDigests.some((refusedDigest) => refusedDigest.startsWith(`${version} `));

  /** True when this node refuses every version above its own up to the floor, as all others do. */
  const isFloorRefused = (): boolean => {
    if (!mayStartBelowRefused || highestEnforced > tag.version) return false;
    for (let version: number = floor.version; version > tag.version; version -= 1) {
      if (!isRefusedVersion(version)) return false;
    }
    return true;
  };

  /**
   * The floor of the mesh gates only the start: a ready node stays ready while a newer version is
   * on its way, or when it refuses one. What its own host enforced before gates it at any time.
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
      // The platform decides; a faulty cookie must not keep the accepted bundle out.
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

  /** The digest already known for a version, if any. */
  const findDigest = (version: number): string | undefined => {
    if (floor.version === version && floor.digest !== '') return floor.digest;
    return held.findVersion(version)?.digest;
  };

  const install = (candidate: Bundle, source: string): Result<VersionTag, StepError> => {
    const step = 'config.install';
    const known = findDigest(candidate.version);
    if (known !== undefined && known !== candidate.digest) {
      const reason = `version ${candidate.version} is known with digest ${known}`;
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
    held.add(candidate);
    logger.info('config-installed', { version: tag.version, source });
    for (const listener of listeners) listener(tag);
    updateReady();
    return ok(tag);
  };

  return {
    held,
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
      // Later heads are announcements: a serving node fetches them and does not stop serving.
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
      mayStartBelowRefused = true;
      updateReady();
    },
    isRefused: ({ version, digest }) => refusedDigests.includes(`${version} ${digest}`),
    onFloor: (listener) => floorListeners.push(listener),
    onInstall: (listener) => listeners.push(listener),
    getLastRefusal: () => refused?.refusal,
    getRefusedBundle: () => refused?.bundle,
    onRefuse: (listener) => refuseListeners.push(listener),
  };
}
