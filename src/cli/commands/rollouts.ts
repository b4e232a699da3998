import { formatTable } from '../formatTable.js';
import { METRICS_FLAG, MetricsCommand } from '../metrics/metricsCommand.js';
import { listRolloutRows, type VersionRuns } from '../metrics/rolloutRows.js';

const HEADER = ['SERVICE', 'VERSION', 'STATE', 'FAILED/RUNS', 'OLD', 'AGE', 'COORDINATOR'];

function formatRuns({ runs, failures }: VersionRuns): string {
  return `${failures}/${runs}`;
}

/** `lycheelane rollouts --metrics URL` */
export default class Rollouts extends MetricsCommand {
  static override summary =
    'Show the rollouts with the runs and failures of the new and old instances.';

  static override flags = { ...METRICS_FLAG };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(Rollouts);
    const { pages, errors } = await this.readPages(this.parseUrls(flags.metrics));
    const rollouts = listRolloutRows(pages);
    const rows = rollouts.map((row) => [
      row.service,
      row.version,
      row.state,
      formatRuns(row.new),
      formatRuns(row.old),
      `${row.ageSeconds.toFixed(1)}s`,
      row.peer,
    ]);
    this.log(rows.length > 0 ? formatTable(HEADER, rows) : 'no coordinator with a rollout');
    return this.finish({ rollouts }, errors);
  }
}
