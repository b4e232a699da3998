/** CPU and memory usage of this process, for the metrics and the operator status. */

/** CPU usage over the last sample interval, and current memory usage. */
export interface ProcessUsage {
  /** CPU usage in percent of one core. */
  readonly cpuPercent: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly uptimeMs: number;
}

const SAMPLE_INTERVAL_MS = 10_000;
const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const PERCENT = 100;
/** Shorter intervals give no meaningful CPU usage. */
const MIN_INTERVAL_MS = 1;

/** Samples the CPU usage periodically; the timer does not keep the process running. */
export class UsageSampler {
  private previousCpu = process.cpuUsage();

  private previousAtMs = performance.now();

  private cpuPercent = 0;

  private readonly timer = setInterval(() => this.update(), SAMPLE_INTERVAL_MS).unref();

  /** Returns the usage; before the first interval is complete, CPU covers the time since start. */
  get(): ProcessUsage {
    if (this.cpuPercent === 0) this.update();
    const memory = process.memoryUsage();
    return {
      cpuPercent: this.cpuPercent,
      residentBytes: memory.rss,
      heapBytes: memory.heapUsed,
      uptimeMs: Math.round(process.uptime() * MS_PER_SECOND),
    };
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private update(): void {
    const nowMs = performance.now();
    const cpuUsage = process.cpuUsage(this.previousCpu);
    const elapsedMs = nowMs - this.previousAtMs;
    if (elapsedMs < MIN_INTERVAL_MS) return;
    this.cpuPercent =
      ((cpuUsage.user + cpuUsage.system) / MICROSECONDS_PER_MS / elapsedMs) * PERCENT;
    this.previousCpu = process.cpuUsage();
    this.previousAtMs = nowMs;
  }
}
