import { setTimeout as wait } from 'node:timers/promises';
import { Flags } from '@oclif/core';
import { formatTable } from '../formatTable.js';
import { METRICS_FLAG, MetricsCommand } from '../metrics/metricsCommand.js';
import { computeUsage } from '../metrics/quotaUsage.js';

const MS_PER_SECOND = 1000;

const HEADER = ['ACCOUNT', 'RATE/S', 'BURST', 'GRANTED', 'MISSING', 'REFUSED', 'USED'];

/** `lycheelane quotas --metrics URL` */
export default class Quotas extends MetricsCommand {
  static override summary = 'Show how much of its quota each account has used within an interval.';

  static override flags = {
    ...METRICS_FLAG,
    interval: Flags.integer({
      description: 'time between the two readings, in seconds',
      default: 5,
      min: 1,
    }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(Quotas);
    const urls = this.parseUrls(flags.metrics);
    const first = await this.readPages(urls);
    const readHosts = new Set(first.pages.map(({ peer }) => peer));
    await wait(flags.interval * MS_PER_SECOND);
    const last = await this.readPages(urls.filter(({ host }) => readHosts.has(host)));
    const accounts = computeUsage(first.pages, last.pages);
    const rows = accounts.map((usage) => [
      usage.account,
      String(usage.ratePerS),
      String(usage.burst),
      String(usage.granted),
      String(usage.missing),
      String(usage.refused),
      usage.ratePerS > 0 ? `${Math.round(usage.usedShare * 100)}%` : '-',
    ]);
    this.log(rows.length > 0 ? formatTable(HEADER, rows) : 'no account with a limit in use');
    const { interval } = flags;
    return this.finish({ intervalSeconds: interval, accounts }, [...first.errors, ...last.errors]);
  }
}
