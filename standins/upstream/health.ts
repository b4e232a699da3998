/** Health resource of the upstream stand-in, which may lag behind or mislead. */
import type { UpstreamBehaviour } from './behaviour.js';

/** State that the health resource shows. */
export interface HealthState {
  readonly state: string;
  readonly busy: number;
  readonly slots: number;
}

/** What the health resource answers. */
export interface HealthAnswer {
  readonly status: number;
  readonly body: HealthState;
}

const MAX_SAMPLES = 10_000;

/** Keeps past states, so that an old one can be shown. */
export class HealthHistory {
  readonly #samples: { atMs: number; state: HealthState }[] = [];

  /** Records a change of the state. */
  recordState(state: HealthState): void {
    this.#samples.push({ atMs: performance.now(), state });
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
  }

  /** Returns the state as the behaviour wants it shown. */
  getAnswer(now: HealthState, behaviour: Readonly<UpstreamBehaviour>): HealthAnswer {
    const shownAtMs = performance.now() - behaviour.healthLagMs;
    const old =
      this.#samples.filter((sample) => sample.atMs <= shownAtMs).at(-1) ?? this.#samples[0];
    const shown = behaviour.healthLagMs > 0 && old !== undefined ? old.state : now;
    const body = { ...shown, busy: behaviour.claimedBusy ?? shown.busy };
    const isWell =
      behaviour.healthLie === 'none' ? shown.state === 'ready' : behaviour.healthLie === 'well';
    return { status: isWell ? 200 : 503, body };
  }
}
