import { Flags } from '@oclif/core';
import type { BurnAlert, BurnCounts, BurnRates } from '../../../plugins/burnRate.js';
import { BURN_WINDOWS_MIN } from '../../../plugins/burnRate.js';
import { BaseCommand, NODE_FLAGS } from '../../baseCommand.js';
import { formatTable } from '../../formatTable.js';
import { requestNode } from '../../requestNode.js';

interface BurnOfObjective {
  readonly burn: BurnRates;
  readonly alert: BurnAlert;
}

interface BurnRoute {
  readonly route: string;
  readonly windows: Readonly<Record<number, BurnCounts>>;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly objective: object | null;
  readonly availability?: BurnOfObjective;
  readonly latency?: BurnOfObjective | null;
}

interface BurnAnswer {
  readonly version: number;
  readonly routes: readonly BurnRoute[];
}

const HEADER = [
  'ROUTE',
  'OBJECTIVE',
  ...BURN_WINDOWS_MIN.map((windowMin) => `${windowMin} MIN`),
  'ALERT',
  'CALLS',
  'P50 MS',
  'P99 MS',
];

function formatRow(route: BurnRoute, name: string, objective: BurnOfObjective | undefined) {
  return [
    route.route,
    name,
    ...BURN_WINDOWS_MIN.map((windowMin) => objective?.burn[windowMin]?.toFixed(2) ?? '-'),
    objective?.alert ?? '-',
    String(route.windows[360]?.total ?? 0),
    route.p50Ms.toFixed(1),
    route.p99Ms.toFixed(1),
  ];
}

function listRows(route: BurnRoute): string[][] {
  if (route.objective === null) return [formatRow(route, 'none', undefined)];
  const rows = [formatRow(route, 'availability', route.availability)];
  if (route.latency) rows.push(formatRow(route, 'latency', route.latency));
  return rows;
}

/** `lycheelane report burn` */
export default class ReportBurn extends BaseCommand {
  static override summary =
    'Show how fast each route spends its error budget, over several windows.';

  static override description =
    'A burn rate of 1 spends the budget exactly within its period. `page`: 5 min and 1 h at 14.4 ' +
    'or more; `ticket`: 30 min and 6 h at 6 or more. Counts start anew when a node restarts.';

  static override flags = {
    ...NODE_FLAGS,
    scope: Flags.string({
      description: 'nodes to add up',
      options: ['local', 'all'],
      default: 'all',
    }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ReportBurn);
    const path = `/v1/burn?scope=${flags.scope}`;
    const answer = this.unwrap(await requestNode<BurnAnswer>(flags, path));
    if (answer.routes.length === 0) this.log('no calls yet');
    else this.log(formatTable(HEADER, answer.routes.flatMap(listRows)));
    return answer;
  }
}
