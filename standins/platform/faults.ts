/** Fault injection settings of the platform stand-in. */

/** Faults to inject; all are off by default. */
export interface PlatformFaults {
  /** Closes every connection without a response, including those of waiting watches. */
  down: boolean;
  /** Delay before each request takes effect, in milliseconds. */
  delayMs: number;
  /**
   * Closes the connection of a write after it took effect, without a response; a number applies to
   * that many writes.
   */
  loseWriteAnswers: boolean | number;
  /** Closes the connection of a watch as soon as it waits for a change. */
  cutWatches: boolean;
  /** Watches return the change before the newest one and do not advance the version. */
  staleWatch: boolean;
  /** Percentage of requests that are answered with 503 and have no effect. */
  failPercent: number;
}

const MAX_PERCENT = 100;
const MAX_DELAY_MS = 600_000;

export const NO_FAULTS: Readonly<PlatformFaults> = {
  down: false,
  delayMs: 0,
  loseWriteAnswers: false,
  cutWatches: false,
  staleWatch: false,
  failPercent: 0,
};

function isFaultValue(name: keyof PlatformFaults, value: unknown): boolean {
  if (name === 'loseWriteAnswers') {
    return typeof value === 'boolean' || (Number.isInteger(value) && Number(value) >= 0);
  }
  if (typeof NO_FAULTS[name] === 'boolean') return typeof value === 'boolean';
  const limit = name === 'failPercent' ? MAX_PERCENT : MAX_DELAY_MS;
  return typeof value === 'number' && value >= 0 && value <= limit;
}

/** Returns the names of unknown or malformed faults in a change; empty when the change is valid. */
export function validateFaults(change: unknown): string[] {
  if (typeof change !== 'object' || change === null || Array.isArray(change)) return ['(object)'];
  return Object.entries(change)
    .filter(
      ([name, value]) =>
        !Object.hasOwn(NO_FAULTS, name) || !isFaultValue(name as keyof PlatformFaults, value),
    )
    .map(([name]) => name);
}
