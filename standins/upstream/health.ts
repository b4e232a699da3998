/** Health resource of the upstream stand-in, which can report stale or false states. */
import type { UpstreamBehaviour } from './behaviour.js';

/** State that the health resource reports. */
export interface HealthState {
  readonly state: string;
  readonly busy: number;
  readonly slots: number;
}

/** Response of the health resource. */
export interface HealthAnswer {
  readonly status: number;
  readonly body: HealthState;
}

const MAX_SAMPLES = 10_000;

/** History of states, from which a stale state can be reported. */
export class HealthHistory {
  readonly #samples: { atMs: number; state: HealthState }[] = [];

  /** Records a change of the state. */
  recordState(state: HealthState): void {
    this.#samples.push({ atMs: performance.now(), state });
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
  }

  /** Returns the response for the current state and behaviour. */
  getAnswer(current: HealthState, behaviour: Readonly<UpstreamBehaviour>): HealthAnswer {
    const reportedAtMs = performance.now() - behaviour.healthLagMs;
    const oldSample =
      this.#samples.filter((sample) => sample.atMs <= reportedAtMs).at(-1) ?? this.#samples[0];
    const reported =
      behaviour.healthLagMs > 0 && oldSample !== undefined ? oldSample.state : current;
    const body = { ...reported, busy: behaviour.claimedBusy ?? reported.busy };
    const isHealthy =
      behaviour.healthLie === 'none' ? reported.state === 'ready' : behaviour.healthLie === 'well';
    return { status: isHealthy ? 200 : 503, body };
  }
}
