import { userInfo } from 'node:os';
import { Flags } from '@oclif/core';
import { MAX_AUTHOR_LENGTH } from '../../../core/config/buildBundle.js';
import { formatFault } from '../../../core/config/configFault.js';
import { BaseCommand, DIR_FLAG, NODE_FLAGS, PLATFORM_FLAG } from '../../baseCommand.js';
import { applyConfig, type ApplyOutcome } from '../../config/applyConfig.js';
import type { RolloutReport } from '../../config/assessNodes.js';
import { formatFileFault } from '../../config/checkFiles.js';
import { formatConflict, formatProgress } from '../../config/formatOutput.js';
import { readWorkingFiles } from '../../config/workingFiles.js';
import { waitForRollout } from '../../config/waitForRollout.js';
import { EXIT_CODES, finishCommand } from '../../exitCodes.js';
import { fetchNodes } from '../../fetchNodes.js';

const POLL_INTERVAL_MS = 500;
const MS_PER_SECOND = 1000;

/** `lycheelane config apply [--wait]` */
export default class ConfigApply extends BaseCommand {
  static override summary = 'Apply the files as the next version of the configuration.';

  static override flags = {
    ...DIR_FLAG,
    ...PLATFORM_FLAG,
    ...NODE_FLAGS,
    author: Flags.string({ description: 'author in the history; default: the user name' }),
    wait: Flags.boolean({
      description: 'wait until all reachable nodes enforce the version',
      dependsOn: ['node'],
    }),
    timeout: Flags.integer({
      description: 'time limit of --wait, in seconds',
      default: 30,
      min: 1,
    }),
  };

  private lastProgress = '';

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ConfigApply);
    const author = (flags.author ?? userInfo().username).slice(0, MAX_AUTHOR_LENGTH);
    const outcome = this.unwrap(
      await this.withPlatform(flags.platform, (platform) =>
        applyConfig(platform, flags.dir, { author }),
      ),
    );
    const exitCode = this.printOutcome(outcome);
    const isDone = outcome.kind === 'accepted' || outcome.kind === 'unchanged';
    if (!isDone || !flags.wait || !flags.node) return finishCommand(exitCode, outcome);
    const { node, timeout, 'node-token': token } = flags;
    const { report, lastError } = await waitForRollout(
      () => fetchNodes({ node, 'node-token': token }),
      outcome.version,
      {
        timeoutMs: timeout * MS_PER_SECOND,
        intervalMs: POLL_INTERVAL_MS,
        onReport: (current) => this.printProgress(current),
      },
    );
    if (lastError) this.logToStderr(`node ${node}: ${lastError.message}`);
    if (report) await this.printUnusedOverlays(flags.dir, report);
    return finishCommand(this.printReport(outcome.version, report), { ...outcome, report });
  }

  /** Warns of overlays without nodes: a misspelt overlay name is valid, but has no effect. */
  private async printUnusedOverlays(dir: string, { dataCentres }: RolloutReport): Promise<void> {
    const working = await readWorkingFiles(dir);
    if (working.isErr()) return;
    const known = dataCentres.map(({ name }) => name);
    for (const { site, file } of working.value.files) {
      if (site !== '' && !known.includes(site)) {
        this.warn(`${file}: no node of a data centre named ${site} is known`);
      }
    }
  }

  private printOutcome(outcome: ApplyOutcome): number {
    switch (outcome.kind) {
      case 'accepted':
      case 'unchanged': {
        const text = outcome.kind === 'accepted' ? 'accepted as' : 'nothing to apply,';
        this.log(`${text} version ${outcome.version}, operation ${outcome.operationId}`);
        outcome.updatedFiles.forEach((file) => this.log(`merged into ${file}`));
        outcome.warnings.forEach((warning) => this.warn(warning));
        return EXIT_CODES.done;
      }
      case 'faulty':
        outcome.faults.forEach((fault) => this.logToStderr(formatFileFault(fault)));
        return EXIT_CODES.faulty;
      case 'conflict':
        outcome.conflicts.forEach((conflict) => this.logToStderr(formatConflict(conflict)));
        return EXIT_CODES.conflict;
      case 'mergeFaulty':
        this.logToStderr('the merge with concurrent edits is invalid:');
        outcome.faults.forEach((fault) => this.logToStderr(formatFault(fault)));
        return EXIT_CODES.conflict;
      case 'unknown':
        this.logToStderr(
          `unknown whether operation ${outcome.operationId} was accepted: ${outcome.cause.message}`,
        );
        this.logToStderr(`check later with: lycheelane config status ${outcome.operationId}`);
        return EXIT_CODES.unknown;
      default:
        return outcome satisfies never;
    }
  }

  private printProgress(report: RolloutReport): void {
    const text = formatProgress(report);
    if (text !== this.lastProgress) this.log(text);
    this.lastProgress = text;
  }

  private printReport(version: number, report: RolloutReport | undefined): number {
    if (report?.isEverywhere) {
      this.log(`version ${version} is in force everywhere`);
      return EXIT_CODES.done;
    }
    const refusals = report?.pending.filter(({ isRefused }) => isRefused).length ?? 0;
    this.logToStderr(
      report?.isRefused
        ? `version ${version} is accepted, but refused by ${refusals} node(s), which keep ` +
            'their current version: correct the fault and apply again'
        : `version ${version} is accepted, but not in force everywhere`,
    );
    for (const { nodeId, dataCentre, reason } of report?.pending ?? []) {
      this.logToStderr(`  ${nodeId} (${dataCentre}): ${reason}`);
    }
    for (const { name, reachable } of report?.dataCentres ?? []) {
      if (!reachable) this.logToStderr(`  ${name}: data centre cannot be reached`);
    }
    return EXIT_CODES.notRolledOut;
  }
}
