/** Output of the demo: one line for each step, and the final result. */

/** Prints the steps and records whether one of them failed. */
export class DemoReport {
  readonly #startedMs = performance.now();

  #step = '';

  #hasFailed = false;

  /** Runs a step and prints its duration. */
  async runStep<Value>(name: string, run: () => Promise<Value>): Promise<Value> {
    this.#step = name;
    const startedMs = performance.now();
    const value = await run();
    this.print(`ok    ${name} (${Math.round(performance.now() - startedMs)} ms)`);
    return value;
  }

  /** Records that the last step failed. */
  recordFailure(thrown: unknown): void {
    this.#hasFailed = true;
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    this.print(`FAIL  ${this.#step}: ${reason}`);
  }

  /** Prints an indented detail of the last step. */
  printDetail(text: string): void {
    this.print(`      ${text}`);
  }

  /** Prints the final result and returns the exit code. */
  finish(): number {
    this.print(this.#hasFailed ? 'FAIL: the demo ended early' : 'PASS: every step succeeded');
    return this.#hasFailed ? 1 : 0;
  }

  private print(text: string): void {
    const seconds = ((performance.now() - this.#startedMs) / 1000).toFixed(1).padStart(5);
    console.log(`${seconds} s  ${text}`);
  }
}
