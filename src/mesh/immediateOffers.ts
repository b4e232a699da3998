/**
 * Offers a call to instances that take it only if they can start it at once. It performs no I/O and
 * reads no clock.
 *
 * It is designed for large fleets, where a node knows the load of an instance from long ago: an
 * instance that seemed idle gets the calls of many nodes, while others have free slots. A refused
 * offer costs one exchange between hosts and tells the present load, so that a call waits only
 * where two random instances of each side have no free slot, and at the one with the shortest wait.
 */
import type { InstanceId } from '../types/ids.js';
import { isSampled, type Candidate } from './instanceSelection.js';

/** Instances that may refuse a call for lack of a free slot before it waits at one of them. */
const MAX_OFFERS = 2;

interface OfferCandidate extends Candidate {
  readonly peer: { readonly record: { readonly instanceId: InstanceId } };
}

/** The immediate offers of one call. */
export class ImmediateOffers {
  private readonly busy = new Set<InstanceId>();

  private hasEnded = false;

  /** Returns the number of offers that were refused for lack of a free slot. */
  countRefused(): number {
    return this.busy.size;
  }

  /** Returns true when the next offer is an immediate one. */
  isNext(candidates: readonly Candidate[]): boolean {
    return !this.hasEnded && this.busy.size < MAX_OFFERS && isSampled(candidates);
  }

  /** Returns true when each offer was refused, and the call has not been sent on since. */
  hasRefusedAll(): boolean {
    return !this.hasEnded && this.busy.size > 0;
  }

  /** Records that an instance has no free slot. */
  recordBusy(instanceId: InstanceId): void {
    this.busy.add(instanceId);
  }

  /** Ends the immediate offers, once a call may have run or waits at an instance. */
  end(): void {
    this.hasEnded = true;
  }

  /** Returns the candidates of the next immediate offer: those that have not refused one. */
  listUnasked<Item extends OfferCandidate>(candidates: readonly Item[]): readonly Item[] {
    return candidates.filter(({ peer }) => !this.busy.has(peer.record.instanceId));
  }

  /**
   * Returns the candidates at one of which the call may wait: those that have told their present
   * load, if there are any that `isUsable` accepts, else all.
   */
  listForWaiting<Item extends OfferCandidate>(
    candidates: readonly Item[],
    isUsable: (candidate: Item) => boolean,
  ): readonly Item[] {
    if (this.busy.size === 0) return candidates;
    const asked = candidates.filter(
      (item) => this.busy.has(item.peer.record.instanceId) && isUsable(item),
    );
    return asked.length > 0 ? asked : candidates;
  }
}
