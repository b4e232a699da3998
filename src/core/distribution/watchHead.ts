/** Watch of the head on the platform, by relays. */
import type { StepError } from '../../errors.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import type { DistributionContext } from './context.js';
import type { VersionFetcher } from './versionFetcher.js';
import { HEAD_NAME, parseHead, readHead } from '../config/readHead.js';
import { installAccepted } from './installAccepted.js';
import { toTag } from './verify.js';
import type { Head } from '../../generated/types.js';

/** Delays after a failed read or watch of the platform. */
const WATCH_BOUNDS = { baseMs: 500, maxMs: 15_000 } as const;
/** Interval of checks whether this node has become a relay. */
const ROLE_CHECK_MS = 500;
/**
 * Maximum wait for a seed before a node without known members acts as a relay. A node that has just
 * started ranks first in its own table, and after a mass restart not all of them should watch.
 */
const MAX_JOIN_WAIT_MS = 3000;

/** Maximum random delay of the first watch in mode `direct`. */
const DIRECT_START_JITTER_MS = 1000;

/** Watches the head while this node is a relay (or always, in mode `direct`). */
export async function runHeadWatch(
  context: DistributionContext,
  fetcher: VersionFetcher,
): Promise<void> {
  const { settings, logger, platform, members, store, random, signal } = context;
  const { mode, watchWaitMs } = settings.distribution;
  const shouldWatch = () => mode === 'direct' || members.isRelay();
  let currentWatch: AbortController | undefined;
  members.onChange(() => {
    if (!shouldWatch()) currentWatch?.abort();
  });
  signal.addEventListener('abort', () => currentWatch?.abort(), { once: true });

  const installHead = async (head: Head) => {
    store.confirmFloor(toTag(head), 'platform');
    if (head.version <= store.getTag().version) {
      fetcher.recordVersion(toTag(head));
      return;
    }
    await installAccepted(context, head);
    // If the read failed, the version is fetched from peers, or from the platform with backoff.
    fetcher.recordVersion(toTag(head));
  };

  /** Reads and watches the head until an error occurs or this node is no longer a relay. */
  let failures = 0;
  const watchHead = async (): Promise<StepError | undefined> => {
    const read = await readHead(platform);
    if (read.isErr()) return read.error;
    if (read.value) await installHead(read.value.value);
    else store.confirmFloor(toTag({ version: 0, digest: '' }), 'platform');
    let from = read.value?.version ?? 0;
    while (shouldWatch() && !signal.aborted) {
      currentWatch = new AbortController();
      const answer = await platform.watch(HEAD_NAME, from, watchWaitMs, currentWatch.signal);
      if (answer.isErr()) return shouldWatch() ? answer.error : undefined;
      failures = 0;
      const change = answer.value.changes.at(-1);
      if (change && !change.deleted) {
        const head = parseHead(change.value);
        if (head.isErr()) return head.error;
        await installHead(head.value);
      }
      from = answer.value.version;
    }
    return undefined;
  };

  const startDelayMs = random() * (mode === 'direct' ? DIRECT_START_JITTER_MS : MAX_JOIN_WAIT_MS);
  await Promise.race([waitMs(startDelayMs, signal), ...(mode === 'relay' ? [members.joined] : [])]);
  while (!signal.aborted) {
    if (!shouldWatch()) {
      await waitMs(ROLE_CHECK_MS, signal);
      continue;
    }
    const error = await watchHead();
    if (error === undefined || signal.aborted) continue;
    const { step, peer, message } = error;
    logger.warn('head-watch-failed', { step, peer, reason: message, failures });
    await waitMs(computeDelayMs(WATCH_BOUNDS, failures, random), signal);
    failures += 1;
  }
}
