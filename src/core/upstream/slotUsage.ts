/** Counts the occupied slots of one instance. */

/** Occupied slots: exchanges of this process and requests that only the upstream knows of. */
export interface SlotUsage {
  /** Takes a slot for an exchange of this process. */
  addExchange(requestId: string): void;
  /** Frees the slot after the exchange with the upstream has ended. */
  removeExchange(requestId: string): void;
  /** Applies the upstream's own report, which may lag behind this process. */
  recordReport(busy: number, running?: readonly string[]): void;
  countInFlight(): number;
  countOccupied(): number;
}

/** Creates the count of an instance with no known request. */
export function createSlotUsage(): SlotUsage {
  const exchanges = new Map<string, number>();
  // Ids whose exchange ended since the last report: that report may still list them.
  let recentlyEnded = new Set<string>();
  let inFlight = 0;
  // A report without ids is compared with the most exchanges open since the last one, because
  // an exchange may have ended here after the upstream had counted it.
  let peak = 0;
  let foreign = 0;

  return {
    addExchange(requestId) {
      exchanges.set(requestId, (exchanges.get(requestId) ?? 0) + 1);
      inFlight += 1;
      peak = Math.max(peak, inFlight);
    },
    removeExchange(requestId) {
      const count = exchanges.get(requestId);
      if (count === undefined) return;
      if (count > 1) exchanges.set(requestId, count - 1);
      else exchanges.delete(requestId);
      recentlyEnded.add(requestId);
      inFlight -= 1;
    },
    recordReport(busy, running) {
      if (running === undefined) {
        foreign = Math.max(0, busy - peak);
      } else {
        const unlisted = Math.max(0, busy - running.length);
        const unknown = running.filter((id) => !exchanges.has(id) && !recentlyEnded.has(id));
        foreign = unlisted + unknown.length;
      }
      peak = inFlight;
      recentlyEnded = new Set();
    },
    countInFlight: () => inFlight,
    countOccupied: () => inFlight + foreign,
  };
}
