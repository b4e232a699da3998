/**
 * Decides when other hosts send the large bodies of their calls to this one.
 *
 * It is designed for uploads to hosts with low-bandwidth links. Bodies that are sent at the same
 * time share the link, so that all of them are late, and the calls without a body with them; and a
 * body whose call is refused afterwards has used the link for nothing. A body is therefore
 * announced first, and sent when it is its turn.
 */
import { AdmissionQueue, type AdmissionItem } from './admission.js';
import { buildRefusal } from './instanceClient.js';
import type { AccountShare, RunResult } from './model.js';
import type { Cancellation } from './signal.js';

/** Bandwidth up to which the link of a sender may be the slower one. */
const SENDER_LINK_MBPS = 10;

/** Bounds of the number of bodies that are sent to a host at the same time. */
const TRANSFER_BOUNDS = { min: 1, max: 64 };

/** Factor and minimum of the time for which a sender that has stalled holds its turn. */
const STALL_FACTOR = 3;
const MIN_STALL_MS = 300;

/** Interval at which waiting bodies are checked for expired deadlines, in milliseconds. */
const EXPIRY_CHECK_MS = 40;

/** A body that a sender has announced. Instants are those at which it must have arrived. */
export interface AnnouncedBody {
  readonly bytes: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Undefined for the body of a request without an account. */
  readonly account?: AccountShare | undefined;
}

/** Answer to an announcement: the turn of the body, or the reason why it is not sent. */
export type TransferTurn =
  /** Call `end` when the body has arrived or its sender has left. */
  | { readonly kind: 'granted'; readonly end: () => void }
  | { readonly kind: 'refused'; readonly result: RunResult };

interface QueuedBody extends AdmissionItem {
  readonly grant: () => void;
  readonly refuse: (result: RunResult) => void;
}

/** Bodies that are sent to this host, and those that wait for their turn. */
export class BodyTransfers {
  private readonly queue: AdmissionQueue<QueuedBody>;

  private readonly concurrency: number;

  private readonly bytesPerMs: number;

  /** Expected time of the bodies that have their turn or wait for it. */
  private pendingMs = 0;

  private expiryTimer: NodeJS.Timeout | undefined;

  constructor(linkMbps: number) {
    const { min, max } = TRANSFER_BOUNDS;
    this.concurrency = Math.min(max, Math.max(min, Math.round(linkMbps / SENDER_LINK_MBPS)));
    this.bytesPerMs = Math.max(1, (linkMbps * 1000) / 8);
    this.queue = new AdmissionQueue(this.concurrency);
  }

  /** Returns the expected time until all announced bodies have arrived, in milliseconds. */
  getPendingMs(): number {
    return this.pendingMs;
  }

  /** Resolves when the body may be sent, or will not be. Never rejects. */
  announce(body: AnnouncedBody, cancellation: Cancellation): Promise<TransferTurn> {
    const linkMs = body.bytes / this.bytesPerMs;
    this.pendingMs += linkMs;
    return new Promise((resolve) => {
      let hasEnded = false;
      const settle = (turn: TransferTurn) => {
        if (turn.kind === 'refused') this.pendingMs -= linkMs;
        resolve(turn);
      };
      const end = () => {
        if (hasEnded) return;
        hasEnded = true;
        this.pendingMs -= linkMs;
        this.queue.releaseSlot();
        this.grantNext();
      };
      const expectedRunMs = linkMs * this.concurrency;
      const item: QueuedBody = {
        ...body,
        expectedRunMs,
        grant: () => {
          setTimeout(end, Math.max(MIN_STALL_MS, expectedRunMs * STALL_FACTOR)).unref();
          settle({ kind: 'granted', end });
        },
        refuse: (result) => settle({ kind: 'refused', result }),
      };
      this.admit(item, cancellation);
    });
  }

  private admit(item: QueuedBody, cancellation: Cancellation): void {
    const decision = this.queue.admit(item, performance.now());
    switch (decision.kind) {
      case 'start':
        item.grant();
        break;
      case 'refused':
        item.refuse(buildRefusal(decision.reason, false, decision.retryAfterMs));
        break;
      case 'queued':
        if (decision.displaced) {
          const { item: displaced, reason, retryAfterMs } = decision.displaced;
          displaced.refuse(buildRefusal(reason, false, retryAfterMs));
        }
        this.scheduleExpiry();
        cancellation.onCancel(() => {
          if (this.queue.remove(item)) item.refuse(buildRefusal('cancelled', false));
        });
        break;
      default:
        throw new Error(`unknown decision ${JSON.stringify(decision satisfies never)}`);
    }
  }

  private grantNext(): void {
    for (;;) {
      const item = this.queue.dequeue(performance.now());
      if (!item) return;
      item.grant();
    }
  }

  private scheduleExpiry(): void {
    if (this.expiryTimer) return;
    this.expiryTimer = setTimeout(() => {
      this.expiryTimer = undefined;
      for (const item of this.queue.removeExpired(performance.now())) {
        item.refuse(buildRefusal('deadline', false));
      }
      if (this.queue.countQueued() > 0) this.scheduleExpiry();
    }, EXPIRY_CHECK_MS);
  }
}
