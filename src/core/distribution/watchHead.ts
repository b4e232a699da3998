/** Watch of the head at relays. */
import type { StepError } from '../../errors.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import type { DistributionContext } from './context.js';
import type { VersionSeeker } from './obtain.js';
import { HEAD_NAME, parseHead, readHead } from '../config/readHead.js';
import { installAccepted } from './installAccepted.js';
import { toTag } from './verify.js';
import type { Head } from '../../generated/types.js';

/** Delays after a failed read or watch of the platform. */
const WATCH_BOUNDS = { baseMs: 500, maxMs: 15_000 } as const;
/** Time between checks whether this node has become a relay. */
const ROLE_CHECK_MS = 500;
/**
 * Longest wait for a seed before a node that knows nobody counts itself a relay. A node that has
 * just started ranks first in its own table, and a mass restart must not make all of them watch.
 */
const ALONE_MS = 3000;

/** Watches the head while this node is a relay (or always, in mode `direct`). */
export async function runHeadWatch(
  context: DistributionContext,
  seeker: VersionSeeker,
): Promise<void> {
  const { settings, logger, platform, members, store, random, signal } = context;
  const { mode, watchWaitMs } = settings.distribution;
  const shouldWatch = () => mode === 'direct' || members.isRelay();
  let current: AbortController | undefined;
  members.onChange(() => {
    if (!shouldWatch()) current?.abort();
  });
  signal.addEventListener('abort', () => current?.abort(), { once: true });

  const obtainHead = async (head: Head) => {
    store.confirmFloor(toTag(head), 'platform');
    if (head.version <= store.getTag().version) {
      seeker.recordHeard(toTag(head));
      return;
    }
    await installAccepted(context, head);
    // Still missing after a failed read: peers, then the platform again with a backoff.
    seeker.recordHeard(toTag(head));
  };

  /** Reads the head and follows it until an error or the loss of the role. */
  let failures = 0;
  const followHead = async (): Promise<StepError | undefined> => {
    const read = await readHead(platform);
    if (read.isErr()) return read.error;
    if (read.value) await obtainHead(read.value.value);
    else store.confirmFloor(toTag({ version: 0, digest: '' }), 'platform');
    let from = read.value?.version ?? 0;
    while (shouldWatch() && !signal.aborted) {
      current = new AbortController();
      const answer = await platform.watch(HEAD_NAME, from, watchWaitMs, current.signal);
      if (answer.isErr()) return shouldWatch() ? answer.error : undefined;
      failures = 0;
      const change = answer.value.changes.at(-1);
      if (change && !change.deleted) {
        const head = parseHead(change.value);
        if (head.isErr()) return head.error;
        await obtainHead(head.value);
      }
      from = answer.value.version;
    }
    return undefined;
  };

  const startDelayMs = random() * (mode === 'direct' ? 1000 : ALONE_MS);
  await Promise.race([waitMs(startDelayMs, signal), ...(mode === 'relay' ? [members.joined] : [])]);
  while (!signal.aborted) {
    if (!shouldWatch()) {
      await waitMs(ROLE_CHECK_MS, signal);
      continue;
    }
    const error = await followHead();
    if (error === undefined || signal.aborted) continue;
    const { step, peer, message } = error;
    logger.warn('head-watch-failed', { step, peer, reason: message, failures });
    await waitMs(computeDelayMs(WATCH_BOUNDS, failures, random), signal);
    failures += 1;
  }
}
