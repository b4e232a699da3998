/** Fault injection settings of the upstream stand-in, which can be changed at run time. */

/** Settings of the behaviour; percentages are applied at random with the seed of the process. */
export interface UpstreamBehaviour {
  /** Time added to the execution time of each request, in milliseconds. */
  latencyMs: number;
  /** Share of runs that answer with `failStatus`. */
  failPercent: number;
  failStatus: number;
  /** Share of answers whose connection is closed in the middle of the body. */
  truncatePercent: number;
  /** Sends truncated answers with chunked encoding, where only the framing marks the end. */
  truncateChunked: boolean;
  /** Share of runs whose connection is closed before the answer. */
  resetPercent: number;
  /** Share of runs that do not end before they are aborted. */
  hangPercent: number;
  /** Additional delay of the answer that ignores deadline and cancellation, in milliseconds. */
  lateMs: number;
  /** Ignores the deadline; only a cancellation or a closed connection ends a request early. */
  ignoreDeadline: boolean;
  /** Number of busy slots to report in announcements and health; null reports the real number. */
  claimedBusy: number | null;
  /** Age of the state that the health resource reports, in milliseconds. */
  healthLagMs: number;
  /** Health to report regardless of the state; `none` reports the real health. */
  healthLie: 'none' | 'well' | 'ill';
  /** Whether the response to a shed request states that the request did not run. */
  shedProof: boolean;
  /** Sheds every request. */
  shedAll: boolean;
}

/** Behaviour without faults. */
export const DEFAULT_BEHAVIOUR: Readonly<UpstreamBehaviour> = {
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

const MAX_PERCENT = 100;

/** Upper limit of all other numbers, among them times in milliseconds. */
const MAX_NUMBER = 600_000;

function isBehaviourValue(name: keyof UpstreamBehaviour, value: unknown): boolean {
  if (name === 'healthLie') return ['none', 'well', 'ill'].includes(String(value));
  if (name === 'claimedBusy' && value === null) return true;
  if (typeof DEFAULT_BEHAVIOUR[name] === 'boolean') return typeof value === 'boolean';
  const limit = name.endsWith('Percent') ? MAX_PERCENT : MAX_NUMBER;
  return typeof value === 'number' && value >= 0 && value <= limit;
}

/** Returns the names of the unknown or invalid settings in a change; empty if it is valid. */
export function validateBehaviour(change: unknown): string[] {
  if (typeof change !== 'object' || change === null || Array.isArray(change)) return ['(object)'];
  return Object.entries(change)
    .filter(
      ([name, value]) =>
        !Object.hasOwn(DEFAULT_BEHAVIOUR, name) ||
        !isBehaviourValue(name as keyof UpstreamBehaviour, value),
    )
    .map(([name]) => name);
}
