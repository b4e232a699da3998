/** Waits for the replies of several nodes to the same request and selects one of them. */

/** Time for which an acceptable reply waits for a better one. */
const BETTER_REPLY_WAIT_MS = 50;

/** Value of a reply: `best` ends the wait, `better` replaces the reply that is held so far. */
export type ReplyRank = 'best' | 'better' | 'useless';

/** Ranks a reply, compared with the one that is held so far. */
export type ReplyRanking<Reply> = (reply: Reply, held: Reply | undefined) => ReplyRank;

/**
 * Resolves with the first reply of rank `best`; soon after the first one of rank `better`, with the
 * last of these; with undefined when there is none.
 */
export function findBestReply<Reply>(
  replies: readonly Promise<Reply>[],
  rankReply: ReplyRanking<Reply>,
): Promise<Reply | undefined> {
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    let held: Reply | undefined;
    let open = replies.length;
    const settle = (reply: Reply | undefined) => {
      clearTimeout(timer);
      resolve(reply);
    };
    const handle = (reply: Reply) => {
      open -= 1;
      const rank = rankReply(reply, held);
      if (rank === 'best') settle(reply);
      if (rank === 'better') {
        timer ??= setTimeout(() => settle(held), BETTER_REPLY_WAIT_MS);
        held = reply;
      }
      if (open === 0) settle(held);
    };
    for (const reply of replies) void reply.then(handle);
    if (open === 0) settle(undefined);
  });
}
