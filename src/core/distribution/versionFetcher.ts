/** Fetching of announced versions from peers or from the platform. */
import type { ConfigFetchAnswer } from '../../generated/types.js';
import type { NodeId } from '../../types/ids.js';
import type { MemberView, VersionTag } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import { chooseRandom } from '../../utils/random.js';
import { isPresent } from '../membership/merge.js';
import { toAddress } from '../membership/context.js';
import { getOwnSender, type DistributionContext } from './context.js';
import { applyDelta } from './delta.js';
import { readHead } from '../config/readHead.js';
import { installAccepted } from './installAccepted.js';
import { toTag, verifyBundle } from './verify.js';

/** Delays between fetches of one version from different members. */
const FETCH_BOUNDS = { baseMs: 50, maxMs: 2000 } as const;
/** Delays between reads of the platform while a version is missing. */
const READ_BOUNDS = { baseMs: 1000, maxMs: 30_000 } as const;
/** Time for which an announcement is ignored if the platform has not accepted its version. */
const IGNORE_MS = 30_000;
/** Maximum number of members remembered as announcers of the wanted version. */
const MAX_ANNOUNCERS = 16;
/** Prevents a busy loop when requests to members fail immediately. */
const MIN_RETRY_DELAY_MS = 10;

/** True when a member has refused this version and therefore has its bundle. */
const hasRefused = ({ record }: MemberView, tag: VersionTag): boolean =>
  record.refused?.version === tag.version && record.refused.digest === tag.digest;

type FetchResult = 'installed' | 'failed' | { readonly retryAfterMs: number };

/** Fetches announced versions and installs them in the store. */
export interface VersionFetcher {
  /** Records that a version exists; `nodeId` is a member that has it. */
  recordVersion(tag: VersionTag, nodeId?: string): void;
  /** Reads and installs the accepted version; returns false when the read failed. */
  readAccepted(): Promise<boolean>;
  /** Resolves when no version is being fetched. */
  waitUntilIdle(): Promise<void>;
}

/** Creates the fetcher. It runs one task while a recorded version is missing. */
export function createVersionFetcher(context: DistributionContext): VersionFetcher {
  const { settings, logger, peers, platform, members, store, random, signal } = context;
  const { fetchTimeoutMs, directReadAfterMs, mode } = settings.distribution;
  let wanted: VersionTag | undefined;
  let announcerIds: string[] = [];
  let running: Promise<void> | undefined;
  /** Set after a delta could not be applied: the next request asks for the whole bundle. */
  let needsFullBundle = false;
  let ignored: { tag: VersionTag; untilMs: number } | undefined;

  const isMissing = (tag: VersionTag | undefined): tag is VersionTag =>
    tag !== undefined && tag.version > store.getTag().version && !store.isRefused(tag);

  const listSources = (): MemberView[] =>
    members
      .listMembers()
      .filter(
        (member) =>
          isPresent(member) &&
          member.verdict === 'alive' &&
          member.record.nodeId !== settings.nodeId &&
          member.record.dataCentre === settings.dataCentre,
      );

  const hasMemberInstalled = ({ version }: VersionTag): boolean =>
    members.listMembers().some((member) => isPresent(member) && member.tag.version >= version);

  /** Returns a member that announced the version, else one that is known to have it, else any. */
  const chooseSource = (tag: VersionTag): MemberView | undefined => {
    for (let nodeId = announcerIds.shift(); nodeId !== undefined; nodeId = announcerIds.shift()) {
      const member = members.getMember(nodeId as NodeId);
      if (member && isPresent(member)) return member;
    }
    const sources = listSources();
    const sourcesWithVersion = sources.filter(
      (member) => member.tag.version >= tag.version || hasRefused(member, tag),
    );
    return chooseRandom(sourcesWithVersion.length > 0 ? sourcesWithVersion : sources, 1, random)[0];
  };

  const decodeAnswer = (answer: ConfigFetchAnswer, source: string) => {
    switch (answer.kind) {
      case 'patch':
        return applyDelta(answer, store.recentBundles.findDigest(answer.fromDigest), source);
      case 'whole':
        return verifyBundle(answer.bundle, source);
      case 'same':
      case 'busy':
        return undefined;
      default:
        return answer satisfies never;
    }
  };

  const fetchFrom = async (source: MemberView, tag: VersionTag): Promise<FetchResult> => {
    const { nodeId } = source.record;
    const installed = store.getTag();
    const haveDigest = needsFullBundle ? '' : installed.digest;
    const wantedDigest = hasRefused(source, tag) ? { wantDigest: tag.digest } : {};
    const answer = await peers.request<ConfigFetchAnswer>(
      toAddress(source.record),
      'config.fetch',
      { from: getOwnSender(context), haveVersion: installed.version, haveDigest, ...wantedDigest },
      fetchTimeoutMs,
    );
    if (answer.isErr()) {
      const { step, message } = answer.error;
      logger.debug('config-fetch-failed', { step, peer: nodeId, reason: message });
      return 'failed';
    }
    if (answer.value.kind === 'busy') return answer.value;
    const bundle = decodeAnswer(answer.value, nodeId);
    if (!bundle) return 'failed';
    needsFullBundle = bundle.isErr() && answer.value.kind === 'patch';
    if (bundle.isErr()) {
      const { step, message } = bundle.error;
      logger.warn('config-answer-refused', { step, peer: nodeId, reason: message });
      return 'failed';
    }
    const { version, digest } = bundle.value;
    if (version === tag.version && tag.digest !== '' && digest !== tag.digest) {
      logger.error('config-digest-differs', { step: 'config.fetch', peer: nodeId, version });
      return 'failed';
    }
    // The member may have installed a later version than the announced one.
    return store.install(bundle.value, nodeId).isOk() ? 'installed' : 'failed';
  };

  const readAccepted = async (): Promise<boolean> => {
    const read = await readHead(platform);
    if (read.isErr()) return false;
    const head = read.value?.value;
    store.confirmFloor(toTag(head ?? { version: 0, digest: '' }), 'platform');
    // If the head is refused, an earlier version may be missing.
    if (head && head.version > store.getTag().version) {
      const installed = await installAccepted(context, head);
      if (installed.isErr()) return false;
    }
    if (wanted && wanted.version > (head?.version ?? 0)) {
      logger.error('version-not-accepted', {
        step: 'config.read',
        peer: 'platform',
        version: wanted.version,
        head: head?.version ?? 0,
      });
      // The head may have been lowered; a version that members have installed remains wanted.
      if (!hasMemberInstalled(wanted)) {
        ignored = { tag: wanted, untilMs: Date.now() + IGNORE_MS };
        wanted = undefined;
      }
    }
    return true;
  };

  const runFetchLoop = async () => {
    const jitteredMs = directReadAfterMs * (1 + random());
    let readAtMs = Date.now() + (mode === 'direct' ? 0 : jitteredMs);
    let fetchAttempts = 0;
    let readAttempts = 0;
    while (isMissing(wanted) && !signal.aborted) {
      if (Date.now() >= readAtMs) {
        await readAccepted();
        readAtMs =
          Date.now() + READ_BOUNDS.baseMs + computeDelayMs(READ_BOUNDS, readAttempts, random);
        readAttempts += 1;
        continue;
      }
      const source = mode === 'relay' ? chooseSource(wanted) : undefined;
      const result = source ? await fetchFrom(source, wanted) : 'failed';
      if (result === 'installed') {
        fetchAttempts = 0;
        continue;
      }
      const delayMs =
        result === 'failed'
          ? computeDelayMs(FETCH_BOUNDS, fetchAttempts, random)
          : result.retryAfterMs;
      fetchAttempts += 1;
      await waitMs(Math.max(MIN_RETRY_DELAY_MS, Math.min(delayMs, readAtMs - Date.now())), signal);
    }
  };

  const recordVersion = (tag: VersionTag, nodeId?: string) => {
    const installed = store.getTag();
    if (tag.version === installed.version && tag.version > 0 && tag.digest !== installed.digest) {
      const { version } = tag;
      logger.error('config-digest-differs', { step: 'config.notify', peer: nodeId, version });
      return;
    }
    if (!isMissing(tag)) return;
    const isIgnored = ignored?.tag.version === tag.version && ignored.tag.digest === tag.digest;
    if (isIgnored && Date.now() < (ignored?.untilMs ?? 0)) return;
    // A wanted version that has been refused must not hide a lower one that members enforce.
    if (!isMissing(wanted) || tag.version > wanted.version) {
      wanted = tag;
      announcerIds = [];
    }
    if (
      nodeId !== undefined &&
      tag.version >= wanted.version &&
      announcerIds.length < MAX_ANNOUNCERS
    ) {
      if (!announcerIds.includes(nodeId)) announcerIds.push(nodeId);
    }
    running ??= runFetchLoop().finally(() => {
      running = undefined;
      if (!signal.aborted && isMissing(wanted)) recordVersion(wanted);
    });
  };

  return { recordVersion, readAccepted, waitUntilIdle: async () => running };
}
