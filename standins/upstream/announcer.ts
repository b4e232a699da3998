/** Announces an upstream stand-in to the node on its host for as long as it runs. */
import { Agent, request } from 'undici';
import type { Announcement, AnnouncementAnswer } from '../../src/generated/types.js';
import { waitMs } from '../../src/utils/backoff.js';

/** Counts of the announcements so far. */
export interface AnnouncementCounts {
  sent: number;
  answered: number;
  /** Cookie of the last answer. */
  cookie: string | undefined;
  lastError: string | undefined;
}

/** A running announcer. */
export interface Announcer {
  readonly counts: Readonly<AnnouncementCounts>;
  /** Announces at once, for a change of state; resolves with whether the node answered. */
  announceNow(): Promise<boolean>;
  stop(): Promise<void>;
}

/** Interval until an answer names another one. */
const FIRST_INTERVAL_MS = 1_000;

const ANSWER_TIMEOUT_MS = 1_000;

/** Starts to announce; the announcement is built anew each time. */
export function startAnnouncer(
  announceUrl: string,
  buildAnnouncement: () => Omit<Announcement, 'cookie'>,
  firstIntervalMs = FIRST_INTERVAL_MS,
): Announcer {
  const agent = new Agent({ connect: { timeout: ANSWER_TIMEOUT_MS }, connections: 1 });
  const stopping = new AbortController();
  const counts: AnnouncementCounts = {
    sent: 0,
    answered: 0,
    cookie: undefined,
    lastError: undefined,
  };
  let intervalMs = firstIntervalMs;

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

  const run = async () => {
    while (!stopping.signal.aborted) {
      await announceNow();
      await waitMs(intervalMs, stopping.signal);
    }
  };
  const running = run();
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
