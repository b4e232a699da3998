/** Waits for the replies of several nodes to the same request and selects one of them. */

/** Time for which an acceptable reply waits for a better one. */
const BETTER_REPLY_WAIT_MS = 50;

/** Value of a reply: `best` ends the wait, `better` replaces the reply that is held so far. */
export type ReplyRank = 'best' | 'better' | 'useless';

/** Ranks a reply, compared with the one that is held so far. */
export type ReplyRanking<Reply> = (reply: Reply, held: Reply | undefined) => ReplyRank;

/**
 * Resolves with the first reply of rank `best`; soon after the first one of rank `better`, with the
 * last of these; with undefined when there is none, at the latest after `limitMs` if it is given.
 */
export function findBestReply<Reply>(
  replies: readonly Promise<Reply>[],
  rankReply: ReplyRanking<Reply>,
  limitMs?: number,
): Promise<Reply | undefined> {
  return new Promise((resolve) => {
    const timers: NodeJS.Timeout[] = [];
    let held: Reply | undefined;
    let open = replies.length;
    const settle = (reply: Reply | undefined) => {
      for (const timer of timers) clearTimeout(timer);
      resolve(reply);
    };
    const settleAfter = (delayMs: number) => {
      timers.push(setTimeout(() => settle(held), delayMs));
    };
    const handle = (reply: Reply) => {
      open -= 1;
      const rank = rankReply(reply, held);
      if (rank === 'best') settle(reply);
      if (rank === 'better') {
        if (held === undefined) settleAfter(BETTER_REPLY_WAIT_MS);
        held = reply;
      }
      if (open === 0) settle(held);
    };
    for (const reply of replies) void reply.then(handle);
    if (open === 0) settle(undefined);
    else if (limitMs !== undefined) settleAfter(limitMs);
  });
}
