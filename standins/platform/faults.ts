/** Faults that the platform stand-in can show. */

/** Settings of the faults; everything is off by default. */
export interface PlatformFaults {
  /** Every connection is closed without a response, waiting watches included. */
  down: boolean;
  /** Time by which each call is held back before it takes effect, in milliseconds. */
  delayMs: number;
  /** Writes take effect and their connection is closed without a response; a number counts down. */
  loseWriteAnswers: boolean | number;
  /** Connections of watches are closed as soon as they wait. */
  cutWatches: boolean;
  /** A watch answers with the change before the newest one and does not advance. */
  staleWatch: boolean;
  /** Share of calls that answer 503 without any effect. */
  failPercent: number;
}

/** No fault. */
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
  const limit = name === 'failPercent' ? 100 : 600_000;
  return typeof value === 'number' && value >= 0 && value <= limit;
}

/** Returns the names of unknown or malformed faults in a change, empty when it is acceptable. */
export function validateFaults(change: unknown): string[] {
  if (typeof change !== 'object' || change === null || Array.isArray(change)) return ['(object)'];
  return Object.entries(change)
    .filter(
      ([name, value]) =>
        !Object.hasOwn(NO_FAULTS, name) || !isFaultValue(name as keyof PlatformFaults, value),
    )
    .map(([name]) => name);
}
