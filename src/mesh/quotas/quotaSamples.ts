/** Metrics of the quotas of a node, by account. */
import type { MetricSample } from '../metricSamples.js';
import type { QuotaClient } from './client.js';
import type { Ledger } from './ledger.js';

/** Lists what this node has granted as coordinator, and what it has denied to its own requests. */
export function listQuotaSamples(
  ledger: Pick<Ledger, 'listAccountTotals'>,
  client: Pick<QuotaClient, 'listDenials'>,
): MetricSample[] {
  const samples: MetricSample[] = [];
  for (const {
    account,
    granted,
    returned,
    missing,
    ratePerS,
    burst,
  } of ledger.listAccountTotals()) {
    const labels = { account };
    samples.push(
      { name: 'quota_tokens_granted', labels, value: granted },
      { name: 'quota_tokens_returned', labels, value: returned },
      { name: 'quota_tokens_missing', labels, value: missing },
      { name: 'quota_limit_per_s', labels, value: ratePerS },
      { name: 'quota_limit_burst', labels, value: burst },
    );
  }
  for (const [account, denials] of client.listDenials()) {
    samples.push({ name: 'quota_denied', labels: { account }, value: denials });
  }
  return samples;
}
