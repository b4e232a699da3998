/** Exponentially weighted mean of run times, for the estimate of waiting times. */

const NEW_SAMPLE_WEIGHT = 0.1;

/** Mean run time of a service's calls on this host. */
export interface RunTime {
  record(runMs: number): void;
  /** Mean in milliseconds; 0 before the first sample. */
  getMeanMs(): number;
}

/** Creates a mean without samples. */
export function createRunTime(): RunTime {
  let meanMs: number | undefined;
  return {
    record(runMs) {
      meanMs = meanMs === undefined ? runMs : meanMs + NEW_SAMPLE_WEIGHT * (runMs - meanMs);
    },
    getMeanMs: () => meanMs ?? 0,
  };
}
