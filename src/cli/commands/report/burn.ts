import { Flags } from '@oclif/core';
import { buildError, toStepError } from '../../../errors.js';
import { BURN_WINDOWS_MIN } from '../../../plugins/burnRate.js';
import { BaseCommand, NODE_FLAGS } from '../../baseCommand.js';
import { replaceFile } from '../../config/replaceFile.js';
import { formatTable } from '../../formatTable.js';
import {
  formatNumber,
  listObjectives,
  type BurnAnswer,
  type ObjectiveBurn,
  type BurnRoute,
} from '../../report/burnAnswer.js';
import { renderBurnPage } from '../../report/burnHtml.js';
import { requestNode } from '../../requestNode.js';

/** Window of the CALLS column. */
const CALL_COUNT_WINDOW_MIN = 360;

const HEADER = [
  'ROUTE',
  'OBJECTIVE',
  ...BURN_WINDOWS_MIN.map((windowMin) => `${windowMin} MIN`),
  'ALERT',
  'CALLS',
  'P50 MS',
  'P99 MS',
];

function formatRow(route: BurnRoute, name: string, objective: ObjectiveBurn | undefined) {
  return [
    route.route,
    name,
    ...BURN_WINDOWS_MIN.map((windowMin) => formatNumber(objective?.burn[windowMin], 2)),
    objective?.alert ?? '-',
    String(route.windows[CALL_COUNT_WINDOW_MIN]?.total ?? 0),
    formatNumber(route.p50Ms, 1),
    formatNumber(route.p99Ms, 1),
  ];
}

function listRows(route: BurnRoute): string[][] {
  const objectives = listObjectives(route);
  if (objectives.length === 0) return [formatRow(route, 'none', undefined)];
  return objectives.map(({ name, burn }) => formatRow(route, name, burn));
}

/** `lycheelane report burn` */
export default class ReportBurn extends BaseCommand {
  static override summary =
    'Show the burn rate of the error budget of each route over several windows.';

  static override description =
    'At a burn rate of 1, the error budget is used up exactly at the end of its period. ' +
    '`page`: 5 min and 1 h at 14.4 or more; `ticket`: 30 min and 6 h at 6 or more. ' +
    'Counts are reset when a node restarts.';

  static override flags = {
    ...NODE_FLAGS,
    scope: Flags.string({
      description: 'nodes whose counts are added',
      options: ['local', 'all'],
      default: 'all',
    }),
    html: Flags.string({ description: 'file to write the report to, as an HTML page with charts' }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ReportBurn);
    const path = `/v1/burn?scope=${flags.scope}`;
    const answer = this.unwrap(await requestNode<BurnAnswer>(flags, path));
    if (answer.routes.length === 0) this.log('no calls yet');
    else this.log(formatTable(HEADER, answer.routes.flatMap(listRows)));
    if (flags.html !== undefined) await this.writePage(flags.html, answer, flags);
    return answer;
  }

  private async writePage(
    file: string,
    answer: BurnAnswer,
    { node = '', scope }: { readonly node?: string | undefined; readonly scope: string },
  ): Promise<void> {
    // Only the origin is included: the URL may contain credentials, and the page may be shared.
    const source = { node: new URL(node).origin, scope, atMs: Date.now() };
    try {
      await replaceFile(file, renderBurnPage(answer, source));
    } catch (thrown) {
      const { message } = toStepError(thrown, 'report.write', file);
      this.fail(buildError('unavailable', 'report.write', file, `not written: ${message}`, thrown));
    }
    this.log(`written to ${file}`);
  }
}
