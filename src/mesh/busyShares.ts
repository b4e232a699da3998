/**
 * Tells whether the calls of a service still find free slots. It performs no I/O.
 *
 * It is designed for a service that is overloaded as a whole: where nearly all instances are busy,
 * each immediate offer is one more exchange between hosts that have little processor time left.
 */
import type { ServiceName } from '../types/ids.js';

/** Share of calls without a free slot from which immediate offers cost more than they bring. */
const MAX_BUSY_SHARE = 0.8;

/** Weight of the latest call in that share. */
const BUSY_WEIGHT = 0.03;

/** Maximum number of services that are remembered. */
const MAX_SERVICES = 256;

/** Share of the calls that are offered all the same, so that free slots are noticed. */
const EXPLORATION_SHARE = 0.1;

/** Shares of the calls that found no free slot, by service. */
export class BusyShares {
  private readonly shares = new Map<ServiceName, number>();

  constructor(private readonly random: () => number = Math.random) {}

  /** Records whether the immediate offers of a call found no free slot. */
  record(service: ServiceName, isBusy: boolean): void {
    const known = this.shares.get(service) ?? 0;
    if (this.shares.size >= MAX_SERVICES) this.shares.clear();
    this.shares.set(service, known + (Number(isBusy) - known) * BUSY_WEIGHT);
  }

  /** Returns true when a call of the service is offered immediately. */
  canOffer(service: ServiceName): boolean {
    const share = this.shares.get(service) ?? 0;
    return share < MAX_BUSY_SHARE || this.random() < EXPLORATION_SHARE;
  }
}
