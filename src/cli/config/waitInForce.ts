/** `config apply --wait`: polls a node until a version is in force, or refused for good. */
import type { Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { NodesAnswer } from '../../generated/types.js';
import { waitMs } from '../../utils/backoff.js';
import { assessNodes, type ForceReport } from './assessNodes.js';

/** Parameters of the wait, in milliseconds. */
export interface WaitOptions {
  readonly timeoutMs: number;
  readonly intervalMs: number;
  /** Called with the report of each poll. */
  readonly onReport: (report: ForceReport) => void;
}

/** Last report, or the error of the last poll when no poll succeeded. */
export interface WaitResult {
  readonly report: ForceReport | undefined;
  readonly lastError: StepError | undefined;
}

/**
 * Polls until every reachable node has the version, until all reachable nodes that lack it have
 * refused it, or until the time is over.
 */
export async function waitInForce(
  fetchNodes: () => Promise<Result<NodesAnswer, StepError>>,
  version: number,
  { timeoutMs, intervalMs, onReport }: WaitOptions,
): Promise<WaitResult> {
  const over = new AbortController();
  const timer = setTimeout(() => over.abort(), timeoutMs);
  let report: ForceReport | undefined;
  let lastError: StepError | undefined;
  try {
    for (;;) {
      const answer = await fetchNodes();
      lastError = answer.isErr() ? answer.error : undefined;
      if (answer.isOk()) {
        report = assessNodes(answer.value, version);
        onReport(report);
        if (report.isReachedInForce || report.isRefused) break;
      }
      if (over.signal.aborted) break;
      await waitMs(intervalMs, over.signal);
    }
  } finally {
    clearTimeout(timer);
  }
  return { report, lastError };
}
