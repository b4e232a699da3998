/** `config apply --wait`: polls a node until a version is rolled out or refused. */
import type { Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { NodesAnswer } from '../../generated/types.js';
import { waitMs } from '../../utils/backoff.js';
import { assessNodes, type RolloutReport } from './assessNodes.js';

/** Time limit and interval of the polls. */
export interface WaitOptions {
  readonly timeoutMs: number;
  readonly intervalMs: number;
  /** Called with the report of each poll. */
  readonly onReport: (report: RolloutReport) => void;
}

/** Report of the last successful poll, and the error of the last poll if it failed. */
export interface WaitResult {
  readonly report: RolloutReport | undefined;
  readonly lastError: StepError | undefined;
}

/**
 * Polls until every reachable node enforces the version, until all reachable nodes that do not
 * have refused it, or until the time limit.
 */
export async function waitForRollout(
  fetchNodes: () => Promise<Result<NodesAnswer, StepError>>,
  version: number,
  { timeoutMs, intervalMs, onReport }: WaitOptions,
): Promise<WaitResult> {
  const deadline = new AbortController();
  const timer = setTimeout(() => deadline.abort(), timeoutMs);
  let report: RolloutReport | undefined;
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
      if (deadline.signal.aborted) break;
      await waitMs(intervalMs, deadline.signal);
    }
  } finally {
    clearTimeout(timer);
  }
  return { report, lastError };
}
