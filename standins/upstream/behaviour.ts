/** Behaviour of the upstream stand-in that can be changed while it runs. */

/** Settings of the behaviour; shares are drawn with the seed of the process. */
export interface UpstreamBehaviour {
  /** Time added to the work of each request, in milliseconds. */
  latencyMs: number;
  /** Share of runs that answer with `failStatus`. */
  failPercent: number;
  failStatus: number;
  /** Share of answers whose connection breaks in the middle of the body. */
  truncatePercent: number;
  /** Sends truncated answers in chunks: without a stated length only the framing shows the end. */
  truncateChunked: boolean;
  /** Share of runs whose connection breaks before the answer. */
  resetPercent: number;
  /** Share of runs that do not end until they are cancelled. */
  hangPercent: number;
  /** Time by which the answer is late, past deadline and cancellation, in milliseconds. */
  lateMs: number;
  /** Misses its deadline; only a cancellation ends a request early. */
  ignoreDeadline: boolean;
  /** Busy slots that announcements and health claim; null tells the truth. */
  claimedBusy: number | null;
  /** Age of the state that the health resource shows, in milliseconds. */
  healthLagMs: number;
  /** What the health resource says whatever the state is. */
  healthLie: 'none' | 'well' | 'ill';
  /** Whether a shed request carries the proof that it did not run. */
  shedProof: boolean;
  /** Sheds every request. */
  shedAll: boolean;
}

/** A well-behaved upstream. */
export const GOOD_BEHAVIOUR: Readonly<UpstreamBehaviour> = {
  latencyMs: 0,
  failPercent: 0,
  failStatus: 500,
  truncatePercent: 0,
  truncateChunked: false,
  resetPercent: 0,
  hangPercent: 0,
  lateMs: 0,
  ignoreDeadline: false,
  claimedBusy: null,
  healthLagMs: 0,
  healthLie: 'none',
  shedProof: true,
  shedAll: false,
};

function isBehaviourValue(name: keyof UpstreamBehaviour, value: unknown): boolean {
  if (name === 'healthLie') return ['none', 'well', 'ill'].includes(String(value));
  if (name === 'claimedBusy' && value === null) return true;
  if (typeof GOOD_BEHAVIOUR[name] === 'boolean') return typeof value === 'boolean';
  const limit = name.endsWith('Percent') ? 100 : 600_000;
  return typeof value === 'number' && value >= 0 && value <= limit;
}

/** Returns the names of unknown or malformed settings in a change, empty when it is acceptable. */
export function validateBehaviour(change: unknown): string[] {
  if (typeof change !== 'object' || change === null || Array.isArray(change)) return ['(object)'];
  return Object.entries(change)
    .filter(
      ([name, value]) =>
        !Object.hasOwn(GOOD_BEHAVIOUR, name) ||
        !isBehaviourValue(name as keyof UpstreamBehaviour, value),
    )
    .map(([name]) => name);
}
