/** Parses metrics in the Prometheus text format. */
import type { MetricSample } from '../../mesh/metricSamples.js';

const LINE = /^lycheelane_(\w+)(?:\{(.*)\})? (\S+)$/;

const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/g;

const ESCAPED: Readonly<Record<string, string>> = { n: '\n' };

/** Returns the samples of the project; other lines are skipped. */
export function parseSamples(text: string): MetricSample[] {
  const samples: MetricSample[] = [];
  for (const line of text.split('\n')) {
    const [, name, labelText = '', valueText] = LINE.exec(line) ?? [];
    const value = Number(valueText);
    if (name === undefined || !Number.isFinite(value)) continue;
    const labels: Record<string, string> = {};
    for (const [, label, escaped] of labelText.matchAll(LABEL)) {
      labels[label!] = escaped!.replaceAll(
        /\\(.)/g,
        (_, character: string) => ESCAPED[character] ?? character,
      );
    }
    samples.push({ name, labels, value });
  }
  return samples;
}
