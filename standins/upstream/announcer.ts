/** Announces an upstream stand-in periodically to the node on its host. */
import { Agent, request } from 'undici';
import type { Announcement, AnnouncementAnswer } from '../../src/generated/types.js';
import { waitMs } from '../../src/utils/backoff.js';

/** Counts of announcements. */
export interface AnnouncementCounts {
  sent: number;
  answered: number;
  /** Cookie of the last answer. */
  cookie: string | undefined;
  lastError: string | undefined;
}

/** Handle of a running announcer. */
export interface Announcer {
  readonly counts: Readonly<AnnouncementCounts>;
  /** Announces a change of state immediately; resolves to whether the node answered. */
  announceNow(): Promise<boolean>;
  stop(): Promise<void>;
}

/** Interval until an answer of the node specifies another one. */
const INITIAL_INTERVAL_MS = 1_000;

const ANSWER_TIMEOUT_MS = 1_000;

/** Starts the announcements; `buildAnnouncement` is called for each of them. */
export function startAnnouncer(
  announceUrl: string,
  buildAnnouncement: () => Omit<Announcement, 'cookie'>,
  initialIntervalMs = INITIAL_INTERVAL_MS,
): Announcer {
  const agent = new Agent({ connect: { timeout: ANSWER_TIMEOUT_MS }, connections: 1 });
  const stopping = new AbortController();
  const counts: AnnouncementCounts = {
    sent: 0,
    answered: 0,
    cookie: undefined,
    lastError: undefined,
  };
  let intervalMs = initialIntervalMs;

  const announceNow = async (): Promise<boolean> => {
    counts.sent += 1;
    try {
      const answer = await request(new URL('/v1/announce', announceUrl), {
        dispatcher: agent,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...buildAnnouncement(), cookie: counts.cookie }),
        signal: AbortSignal.any([stopping.signal, AbortSignal.timeout(ANSWER_TIMEOUT_MS)]),
      });
      const text = await answer.body.text();
      if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}: ${text}`);
      const parsed = JSON.parse(text) as AnnouncementAnswer;
      counts.answered += 1;
      counts.cookie = parsed.cookie;
      intervalMs = parsed.intervalMs;
      return true;
    } catch (thrown) {
      counts.lastError = thrown instanceof Error ? thrown.message : String(thrown);
      return false;
    }
  };

  const runLoop = async () => {
    while (!stopping.signal.aborted) {
      await announceNow();
      await waitMs(intervalMs, stopping.signal);
    }
  };
  const running = runLoop();
  return {
    counts,
    announceNow,
    stop: async () => {
      stopping.abort();
      await running;
      await agent.destroy();
    },
  };
}
