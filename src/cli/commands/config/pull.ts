import { Flags } from '@oclif/core';
import { BaseCommand, DIR_FLAG, PLATFORM_FLAG } from '../../baseCommand.js';
import { formatConflict } from '../../config/formatOutput.js';
import { pullConfig } from '../../config/pullConfig.js';
import { EXIT_CODES, finishCommand } from '../../exitCodes.js';

/** `lycheelane config pull [--force]` */
export default class ConfigPull extends BaseCommand {
  static override summary = 'Merge the accepted version into the files and keep local edits.';

  static override flags = {
    ...DIR_FLAG,
    ...PLATFORM_FLAG,
    force: Flags.boolean({ description: 'replace the files and discard local edits' }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ConfigPull);
    const outcome = this.unwrap(
      await this.withPlatform(flags.platform, (platform) =>
        pullConfig(platform, flags.dir, flags.force),
      ),
    );
    if (outcome.kind === 'conflict') {
      outcome.conflicts.forEach((conflict) => this.logToStderr(formatConflict(conflict)));
      return finishCommand(EXIT_CODES.conflict, outcome);
    }
    outcome.updatedFiles.forEach((file) => this.log(`updated ${file}`));
    this.log(`the files are based on version ${outcome.version}`);
    return outcome;
  }
}
