/** Text output of the configuration commands. */
import { formatPath } from '../../core/config/configFault.js';
import type { JsonChange } from '../../core/config/diffContent.js';
import type { NodeStatus } from '../../generated/types.js';
import type { MergeConflict } from '../../core/config/mergeThreeWay.js';
import type { RolloutReport } from './assessNodes.js';

function formatValue(value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}

/** Formats a merge conflict with its path and the values of the parent and both sides. */
export function formatConflict({ path, parent, ours, theirs }: MergeConflict): string {
  return [
    `${formatPath(path)}: conflict: changed here and in the accepted version`,
    `  before: ${formatValue(parent)}`,
    `  here:   ${formatValue(ours)}`,
    `  theirs: ${formatValue(theirs)}`,
  ].join('\n');
}

/** Formats a difference as one line; `+` added, `-` removed, `~` changed. */
export function formatChange({ path, before, after }: JsonChange): string {
  const name = formatPath(path);
  if (before === undefined) return `+ ${name}: ${formatValue(after)}`;
  if (after === undefined) return `- ${name}: ${formatValue(before)}`;
  return `~ ${name}: ${formatValue(before)} -> ${formatValue(after)}`;
}

/** Formats a refusal as one line: version, reason and the step that failed. */
export function formatRefusal(refusal: NonNullable<NodeStatus['refusal']>): string {
  // Nodes of earlier releases do not report the step.
  const step = refusal.step ? ` (step ${refusal.step})` : '';
  return `${refusal.version}: ${refusal.reason}${step}`;
}

/** Formats the progress of each data centre on a line of its own. */
export function formatProgress({ dataCentres, version }: RolloutReport): string {
  return dataCentres
    .map(({ name, nodes, inForce, reachable, sinceMs }) => {
      const since = sinceMs ? ` since ${new Date(sinceMs).toISOString()}` : '';
      const note = reachable ? '' : `, unreachable${since}`;
      return `  ${name}: ${inForce} of ${nodes} nodes at version ${version}${note}`;
    })
    .join('\n');
}
