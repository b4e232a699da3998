/** CPU and memory of this process, for the control budget and the operators' status. */

/** Usage since the last sample for CPU, and at the moment of the sample for memory. */
export interface ProcessUsage {
  /** Share of one core in percent over the last sample interval. */
  readonly cpuPercent: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly uptimeMs: number;
}

const SAMPLE_MS = 10_000;
const MICROSECONDS_PER_MS = 1000;

/** Samples this process on a timer that does not keep it alive. */
export class UsageSampler {
  private lastCpu = process.cpuUsage();

  private lastAtMs = performance.now();

  private cpuPercent = 0;

  private readonly timer = setInterval(() => this.update(), SAMPLE_MS).unref();

  /** Returns the usage; CPU covers the last complete interval, at first the time since start. */
  get(): ProcessUsage {
    if (this.cpuPercent === 0) this.update();
    const memory = process.memoryUsage();
    return {
      cpuPercent: this.cpuPercent,
      residentBytes: memory.rss,
      heapBytes: memory.heapUsed,
      uptimeMs: Math.round(process.uptime() * 1000),
    };
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private update(): void {
    const now = performance.now();
    const used = process.cpuUsage(this.lastCpu);
    const elapsedMs = now - this.lastAtMs;
    if (elapsedMs < 1) return;
    this.cpuPercent = ((used.user + used.system) / MICROSECONDS_PER_MS / elapsedMs) * 100;
    this.lastCpu = process.cpuUsage();
    this.lastAtMs = now;
  }
}
