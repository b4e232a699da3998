/** Counts the occupied slots of one instance. */

/** Occupied slots: exchanges of this process, and other requests that the upstream reports. */
export interface SlotUsage {
  /** Occupies a slot for an exchange of this process. */
  addExchange(requestId: string): void;
  /** Frees the slot of an ended exchange. */
  removeExchange(requestId: string): void;
  /** Applies a report of the upstream, which may be older than the state of this process. */
  recordReport(busy: number, running?: readonly string[]): void;
  countInFlight(): number;
  countOccupied(): number;
}

/** Creates the usage of an idle instance. */
export function createSlotUsage(): SlotUsage {
  const exchanges = new Map<string, number>();
  // Ids whose exchange ended since the last report: that report may still list them.
  let recentlyEnded = new Set<string>();
  let inFlight = 0;
  // A report without ids is compared with the highest number in flight since the last report,
  // because an exchange may have ended here after the upstream had counted it.
  let peakInFlight = 0;
  let untracked = 0;

  return {
    addExchange(requestId) {
      exchanges.set(requestId, (exchanges.get(requestId) ?? 0) + 1);
      inFlight += 1;
      peakInFlight = Math.max(peakInFlight, inFlight);
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
        untracked = Math.max(0, busy - peakInFlight);
      } else {
        const unlisted = Math.max(0, busy - running.length);
        const unknown = running.filter((id) => !exchanges.has(id) && !recentlyEnded.has(id));
        untracked = unlisted + unknown.length;
      }
      peakInFlight = inFlight;
      recentlyEnded = new Set();
    },
    countInFlight: () => inFlight,
    countOccupied: () => inFlight + untracked,
  };
}
