/** Exponentially weighted moving average of run times, used to estimate queueing delays. */

const NEW_SAMPLE_WEIGHT = 0.1;

/** Mean run time of a service's calls on this host. */
export interface MeanRunTime {
  record(runMs: number): void;
  /** Mean in milliseconds; 0 before the first sample. */
  getMeanMs(): number;
}

/** Creates an average without samples. */
export function createMeanRunTime(): MeanRunTime {
  let meanMs: number | undefined;
  return {
    record(runMs) {
      meanMs = meanMs === undefined ? runMs : meanMs + NEW_SAMPLE_WEIGHT * (runMs - meanMs);
    },
    getMeanMs: () => meanMs ?? 0,
  };
}
