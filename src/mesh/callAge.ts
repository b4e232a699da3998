/**
 * Decides whether a call from another node may be started, by the time that it was under way. It
 * performs no I/O and reads no clock.
 *
 * A call may be held up by a full link, a busy process or a lost packet, and the end of its
 * connection arrives behind it. The node that sent it knows whether its caller is still there.
 */
import type { SentTime } from './peerMessages.js';

/** Age from which a call goes back to its sender, since its caller may have left meanwhile. */
const MAX_CALL_AGE_MS = 400;

/** Reasons for which a call is not started. */
export type CallAgeRefusal = 'delayed' | 'clock-unknown';

/** Returns why a call that has arrived at `receivedAtMs` is not started; undefined if it may be. */
export function checkCallAge(sentTime: SentTime, receivedAtMs: number): CallAgeRefusal | undefined {
  switch (sentTime.kind) {
    case 'known':
      return receivedAtMs - sentTime.atMs > MAX_CALL_AGE_MS ? 'delayed' : undefined;
    case 'unknown':
      return 'clock-unknown';
    case 'unsupported':
      return undefined;
    default:
      throw new Error(`unknown time ${JSON.stringify(sentTime satisfies never)}`);
  }
}
