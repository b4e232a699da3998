/** Counters, gauges and latency histograms of a node in the Prometheus text format. */
// The entry point of the package also loads its WebAssembly build.
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';
import { formatLabels, type MetricSample } from './metricSamples.js';

/** Upper bound of recorded latencies, in milliseconds; higher values are recorded as this value. */
const MAX_LATENCY_MS = 60_000;

const LOWEST_LATENCY_MS = 1;

const SIGNIFICANT_DIGITS = 2;

const { default: Int32Histogram } = int32Histogram;

const QUANTILES = [50, 90, 99, 99.9];

export class MeshMetrics {
  private readonly counters = new Map<string, number>();

  private readonly histograms = new Map<string, InstanceType<typeof Int32Histogram>>();

  private readonly gauges = new Map<string, () => number>();

  private readonly sources: (() => readonly MetricSample[])[] = [];

  /** Increases a counter; `labels` is the text between the braces. */
  count(name: string, labels = '', increase = 1): void {
    const key = `${name}{${labels}}`;
    this.counters.set(key, (this.counters.get(key) ?? 0) + increase);
  }

  /** Registers a gauge whose value is read whenever the metrics are rendered. */
  registerGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Registers a source whose samples are listed whenever the metrics are rendered. */
  registerSource(listSamples: () => readonly MetricSample[]): void {
    this.sources.push(listSamples);
  }

  /** Records a latency in milliseconds. */
  recordLatency(name: string, latencyMs: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = new Int32Histogram(LOWEST_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
      this.histograms.set(name, histogram);
    }
    histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
  }

  render(): string {
    const lines: string[] = [];
    for (const [key, value] of this.counters) lines.push(`lycheelane_${key} ${value}`);
    for (const [name, read] of this.gauges) lines.push(`lycheelane_${name} ${read()}`);
    for (const listSamples of this.sources) {
      for (const { name, labels, value } of listSamples()) {
        lines.push(`lycheelane_${name}{${formatLabels(labels)}} ${value}`);
      }
    }
    for (const [name, histogram] of this.histograms) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(`lycheelane_${name}_ms{quantile="${quantile / 100}"} ${value}`);
      }
      lines.push(`lycheelane_${name}_ms_count ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
