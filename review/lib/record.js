/** The record of a case: what was sent, answered and run, as JSON lines with times in seconds. */
import { createWriteStream } from 'node:fs';

export class CaseRecord {
  constructor(path) {
    this.output = createWriteStream(path);
    this.startedAtMs = performance.now();
  }

  /** Returns the time since the start of the case in seconds. */
  getTimeS() {
    return (performance.now() - this.startedAtMs) / 1000;
  }

  write(event, fields = {}) {
    const line = { t: Number(this.getTimeS().toFixed(3)), event, ...fields };
    this.output.write(`${JSON.stringify(line)}\n`);
  }

  /** Writes a line that is also shown on standard output. */
  note(text) {
    this.write('note', { text });
    process.stdout.write(`${this.getTimeS().toFixed(3)} ${text}\n`);
  }

  /** Resolves when all lines are written. */
  close() {
    return new Promise((resolve) => {
      this.output.end(resolve);
    });
  }
}
