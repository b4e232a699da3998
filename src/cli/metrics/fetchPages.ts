/** Reads the metrics pages of nodes. */
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { readLimitedText } from '../../core/platform/readLimitedText.js';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { MetricSample } from '../../mesh/metricSamples.js';
import { parseSamples } from './parseSamples.js';

const REQUEST_TIMEOUT_MS = 5000;

/** 1,000 accounts take about 300 KB at a coordinator. */
const MAX_PAGE_BYTES = 4_194_304;

const STEP = 'metrics.read';

/** Values of the metrics page of one node. */
export interface MetricsPage {
  /** Host and port of the page. */
  readonly peer: string;
  /** Time at which the page was read, on the `performance.now` scale. */
  readonly atMs: number;
  readonly samples: readonly MetricSample[];
}

/** Pages that were read, and the errors of the others. */
export interface ReadPages {
  readonly pages: readonly MetricsPage[];
  readonly errors: readonly StepError[];
}

/** Returns the address of a page; without a path, that of the platform deployment is used. */
export function parsePageUrl(text: string): Result<URL, StepError> {
  if (!/^https?:\/\//.test(text) || !URL.canParse(text)) {
    const example = 'http://10.0.0.5:9464/metrics';
    const message = `--metrics is not a URL: ${text}; expected one such as ${example}`;
    return err(buildError('refused', 'config.metrics', 'self', message));
  }
  const url = new URL(text);
  if (url.pathname === '/') url.pathname = '/metrics';
  return ok(url);
}

async function fetchPage(url: URL): Promise<Result<MetricsPage, StepError>> {
  const peer = url.host;
  try {
    const response = await request(url, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) });
    const text = await readLimitedText(response.body, MAX_PAGE_BYTES);
    if (response.statusCode !== 200) {
      return err(buildError('refused', STEP, peer, `status ${response.statusCode}`));
    }
    const samples = parseSamples(text);
    if (samples.length > 0) return ok({ peer, atMs: performance.now(), samples });
    return err(buildError('invalid', STEP, peer, 'this is not the metrics page of a node'));
  } catch (thrown) {
    const { message } = toStepError(thrown, STEP, peer);
    return err(buildError('unavailable', STEP, peer, message, thrown));
  }
}

/** Reads all pages at the same time. */
export async function fetchPages(urls: readonly URL[]): Promise<ReadPages> {
  const results = await Promise.all(urls.map((url) => fetchPage(url)));
  const pages: MetricsPage[] = [];
  const errors: StepError[] = [];
  for (const result of results) {
    if (result.isOk()) pages.push(result.value);
    else errors.push(result.error);
  }
  return { pages, errors };
}
