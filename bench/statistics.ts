/** Quantiles and least-squares fits of measured samples. */

/** Summary of samples, in their unit. */
export interface Summary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Result of a fit of `y = intercept + sum(slopes[i] * x[i])`. */
export interface LinearFit {
  readonly intercept: number;
  readonly slopes: readonly number[];
  /** Share of the variance that the fit explains; 1 when `y` does not vary. */
  readonly rSquared: number;
}

function requireFinite(values: readonly number[]): void {
  if (values.length === 0) throw new RangeError('no samples');
  if (!values.every(Number.isFinite)) throw new RangeError('a sample is not a finite number');
}

/** Returns the quantile by the nearest-rank method; `share` is in (0, 1]. */
export function computeQuantile(samples: readonly number[], share: number): number {
  requireFinite(samples);
  if (!(share > 0 && share <= 1)) throw new RangeError(`quantile ${share} is not in (0, 1]`);
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.ceil(share * sorted.length) - 1] as number;
}

/** Summarizes samples; throws `RangeError` for none or for one that is not finite. */
export function computeSummary(samples: readonly number[]): Summary {
  requireFinite(samples);
  return {
    count: samples.length,
    mean: samples.reduce((sum, sample) => sum + sample, 0) / samples.length,
    p50: computeQuantile(samples, 0.5),
    p99: computeQuantile(samples, 0.99),
    max: computeQuantile(samples, 1),
  };
}

/** Solves a square system by Gaussian elimination with partial pivoting. */
function computeSolution(matrix: readonly number[][], right: readonly number[]): number[] {
  const rows = matrix.map((row, index) => [...row, right[index] as number]);
  const size = rows.length;
  const get = (row: number, column: number) => (rows[row] as number[])[column] as number;
  for (let pivot = 0; pivot < size; pivot += 1) {
    let best = pivot;
    for (let row = pivot + 1; row < size; row += 1) {
      if (Math.abs(get(row, pivot)) > Math.abs(get(best, pivot))) best = row;
    }
    [rows[pivot], rows[best]] = [rows[best] as number[], rows[pivot] as number[]];
    if (Math.abs(get(pivot, pivot)) < 1e-9) throw new RangeError('the points leave a slope open');
    for (let row = 0; row < size; row += 1) {
      if (row === pivot) continue;
      const factor = get(row, pivot) / get(pivot, pivot);
      rows[row] = (rows[row] as number[]).map(
        (value, column) => value - factor * get(pivot, column),
      );
    }
  }
  return rows.map((row, index) => (row[size] as number) / (row[index] as number));
}

/**
 * Fits a plane by least squares. Each point is its `x` values followed by `y`. Throws `RangeError`
 * when the points do not determine every slope.
 */
export function computeFit(points: readonly (readonly number[])[]): LinearFit {
  requireFinite(points.flat());
  const width = points[0]?.length ?? 0;
  if (width < 2 || points.some((point) => point.length !== width)) {
    throw new RangeError('points differ in length or have no x');
  }
  if (points.length < width) throw new RangeError(`${points.length} points for ${width} unknowns`);
  const inputs = points.map((point) => [1, ...point.slice(0, -1)]);
  const outputs = points.map((point) => point.at(-1) as number);
  const dot = (a: readonly number[], b: readonly number[]) =>
    a.reduce((sum, value, index) => sum + value * (b[index] as number), 0);
  const columns = Array.from({ length: width }, (_, index) =>
    inputs.map((input) => input[index] as number),
  );
  const normal = columns.map((one) => columns.map((other) => dot(one, other)));
  const solution = computeSolution(
    normal,
    columns.map((column) => dot(column, outputs)),
  );
  const mean = outputs.reduce((sum, value) => sum + value, 0) / outputs.length;
  const total = outputs.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const rest = inputs.reduce(
    (sum, input, index) => sum + ((outputs[index] as number) - dot(solution, input)) ** 2,
    0,
  );
  const [intercept = 0, ...slopes] = solution;
  return { intercept, slopes, rSquared: total === 0 ? 1 : 1 - rest / total };
}

/** Evaluates a fit. */
export function computeFitted(fit: LinearFit, inputs: readonly number[]): number {
  if (inputs.length !== fit.slopes.length) throw new RangeError('wrong number of x values');
  return fit.slopes.reduce(
    (sum, slope, index) => sum + slope * (inputs[index] as number),
    fit.intercept,
  );
}
