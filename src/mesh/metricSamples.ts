/** Values with labels that are listed whenever the metrics are rendered. */

/** One value of a metric. */
export interface MetricSample {
  /** Name without the prefix of the project. */
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

function formatLabelValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

/** Formats labels as the text between the braces, with their values escaped. */
export function formatLabels(labels: Readonly<Record<string, string>>): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${formatLabelValue(value)}"`)
    .join(',');
}
