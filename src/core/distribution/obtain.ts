/** Obtains versions that were announced, from peers or from the platform. */
import type { ConfigFetchAnswer } from '../../generated/types.js';
import type { NodeId } from '../../types/ids.js';
import type { MemberView, VersionTag } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import { chooseRandom } from '../../utils/random.js';
import { isPresent } from '../membership/merge.js';
import { toAddress } from '../membership/context.js';
import { getOwnSender, type DistributionContext } from './context.js';
import { applyDifference } from './delta.js';
import { readHead } from '../config/readHead.js';
import { installAccepted } from './installAccepted.js';
import { toTag, verifyBundle } from './verify.js';

/** Delays between fetches of one version from different members. */
const FETCH_BOUNDS = { baseMs: 50, maxMs: 2000 } as const;
/** Delays between own reads of the platform while a version is missing. */
const READ_BOUNDS = { baseMs: 1000, maxMs: 30_000 } as const;
/** Time for which an announcement is ignored after the platform did not know its version. */
const IGNORE_MS = 30_000;
/** Members remembered as holders of the wanted version. */
const MAX_HOLDERS = 16;

/** True when a member has refused this very version, and so holds its bundle. */
const hasRefused = ({ record }: MemberView, tag: VersionTag): boolean =>
  record.refused?.version === tag.version && record.refused.digest === tag.digest;

type FetchResult = 'installed' | 'failed' | { readonly retryAfterMs: number };

/** Brings versions that were heard of into the store. */
export interface VersionSeeker {
  /** Notes that a version exists; `nodeId` names a member that holds it. */
  recordHeard(tag: VersionTag, nodeId?: string): void;
  /** Reads the head and its bundle from the platform; false when it could not be read. */
  readAccepted(): Promise<boolean>;
  /** Resolves when no version is being sought. */
  idle(): Promise<void>;
}

/** Creates the seeker. It runs one task while a heard version is missing. */
export function createSeeker(context: DistributionContext): VersionSeeker {
  const { settings, logger, peers, platform, members, store, random, signal } = context;
  const { fetchTimeoutMs, directReadAfterMs, mode } = settings.distribution;
  let wanted: VersionTag | undefined;
  let holders: string[] = [];
  let running: Promise<void> | undefined;
  /** Set after a difference could not be applied: the next answer must be whole. */
  let wantsWhole = false;
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

  const isHeldByMember = ({ version }: VersionTag): boolean =>
    members.listMembers().some((member) => isPresent(member) && member.tag.version >= version);

  /** A member that announced the version, else one that is known to hold it, else any. */
  const takeSource = (tag: VersionTag): MemberView | undefined => {
    for (let nodeId = holders.shift(); nodeId !== undefined; nodeId = holders.shift()) {
      const member = members.getMember(nodeId as NodeId);
      if (member && isPresent(member)) return member;
    }
    const sources = listSources();
    const holding = sources.filter(
      (member) => member.tag.version >= tag.version || hasRefused(member, tag),
    );
    return chooseRandom(holding.length > 0 ? holding : sources, 1, random)[0];
  };

  const readAnswer = (answer: ConfigFetchAnswer, source: string) => {
    switch (answer.kind) {
      case 'patch':
        return applyDifference(answer, store.held.findDigest(answer.fromDigest), source);
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
    const have = store.getTag();
    const haveDigest = wantsWhole ? '' : have.digest;
    const wanting = hasRefused(source, tag) ? { wantDigest: tag.digest } : {};
    const answer = await peers.request<ConfigFetchAnswer>(
      toAddress(source.record),
      'config.fetch',
      { from: getOwnSender(context), haveVersion: have.version, haveDigest, ...wanting },
      fetchTimeoutMs,
    );
    if (answer.isErr()) {
      const { step, message } = answer.error;
      logger.debug('config-fetch-failed', { step, peer: nodeId, reason: message });
      return 'failed';
    }
    if (answer.value.kind === 'busy') return answer.value;
    const bundle = readAnswer(answer.value, nodeId);
    if (!bundle) return 'failed';
    wantsWhole = bundle.isErr() && answer.value.kind === 'patch';
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
    // A later version than the announced one is the sender's newer announcement.
    return store.install(bundle.value, nodeId).isOk() ? 'installed' : 'failed';
  };

  const readAccepted = async (): Promise<boolean> => {
    const read = await readHead(platform);
    if (read.isErr()) return false;
    const head = read.value?.value;
    store.confirmFloor(toTag(head ?? { version: 0, digest: '' }), 'platform');
    // Under a refused head an earlier version may be missing.
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
      // A head that was lowered does not refute a version that members have installed.
      if (!isHeldByMember(wanted)) {
        ignored = { tag: wanted, untilMs: Date.now() + IGNORE_MS };
        wanted = undefined;
      }
    }
    return true;
  };

  const seek = async () => {
    const jitteredMs = directReadAfterMs * (1 + random());
    let readAtMs = Date.now() + (mode === 'direct' ? 0 : jitteredMs);
    let fetches = 0;
    let reads = 0;
    while (isMissing(wanted) && !signal.aborted) {
      if (Date.now() >= readAtMs) {
        await readAccepted();
        readAtMs = Date.now() + READ_BOUNDS.baseMs + computeDelayMs(READ_BOUNDS, reads, random);
        reads += 1;
        continue;
      }
      const source = mode === 'relay' ? takeSource(wanted) : undefined;
      const result = source ? await fetchFrom(source, wanted) : 'failed';
      if (result === 'installed') {
        fetches = 0;
        continue;
      }
      const delayMs =
        result === 'failed' ? computeDelayMs(FETCH_BOUNDS, fetches, random) : result.retryAfterMs;
      fetches += 1;
      // At least 10 ms, so that members that fail at once do not make a busy loop.
      await waitMs(Math.max(10, Math.min(delayMs, readAtMs - Date.now())), signal);
    }
  };

  const recordHeard = (tag: VersionTag, nodeId?: string) => {
    const installed = store.getTag();
    if (tag.version === installed.version && tag.version > 0 && tag.digest !== installed.digest) {
      const { version } = tag;
      logger.error('config-digest-differs', { step: 'config.notify', peer: nodeId, version });
      return;
    }
    if (!isMissing(tag)) return;
    const isIgnored = ignored?.tag.version === tag.version && ignored.tag.digest === tag.digest;
    if (isIgnored && Date.now() < (ignored?.untilMs ?? 0)) return;
    // A version that was refused meanwhile must not hide a lower one that is in force.
    if (!isMissing(wanted) || tag.version > wanted.version) {
      wanted = tag;
      holders = [];
    }
    if (nodeId !== undefined && tag.version >= wanted.version && holders.length < MAX_HOLDERS) {
      if (!holders.includes(nodeId)) holders.push(nodeId);
    }
    running ??= seek().finally(() => {
      running = undefined;
      if (!signal.aborted && isMissing(wanted)) recordHeard(wanted);
    });
  };

  return { recordHeard, readAccepted, idle: async () => running };
}
