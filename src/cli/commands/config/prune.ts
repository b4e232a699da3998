import { Flags } from '@oclif/core';
import { pruneOrphanedBundles } from '../../../core/config/pruneOrphanedBundles.js';
import { BaseCommand, PLATFORM_FLAG } from '../../baseCommand.js';
import { EXIT_CODES, finishCommand } from '../../exitCodes.js';

const MS_PER_HOUR = 3_600_000;
/** 512 bundles of 512 KiB; one text value of Node.js holds about as much. */
const LIST_LIMITS = { maxListBytes: 268_435_456, timeoutMs: 60_000 };

/** `lycheelane config prune` */
export default class ConfigPrune extends BaseCommand {
  static override summary = 'Remove bundles of applies that crashed or lost a race.';

  static override description =
    'Only bundles whose version another edit holds are removed. A bundle above the accepted ' +
    'version is kept, because an apply that is paused may still have it accepted.';

  static override flags = {
    ...PLATFORM_FLAG,
    'min-age': Flags.integer({
      description: 'hours for which `config status` still answers about a lost bundle',
      default: 24,
      min: 0,
    }),
    'dry-run': Flags.boolean({ description: 'only list what would be removed' }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ConfigPrune);
    const isDryRun = flags['dry-run'];
    const options = { minAgeMs: flags['min-age'] * MS_PER_HOUR, isDryRun };
    const report = this.unwrap(
      await this.withPlatform(
        flags.platform,
        (platform) => pruneOrphanedBundles(platform, options),
        LIST_LIMITS,
      ),
    );
    const { removed, failed, kept } = report;
    for (const id of removed) this.log(`${isDryRun ? 'would remove' : 'removed'} ${id}`);
    for (const id of failed) this.logToStderr(`not removed, try again later: ${id}`);
    this.log(
      `${removed.length} lost; kept: ${kept.accepted} accepted, ${kept.open} open, ` +
        `${kept.recent} younger than ${flags['min-age']} h, ${kept.unclear} unclear, ` +
        `${kept.malformed} malformed`,
    );
    return finishCommand(failed.length > 0 ? EXIT_CODES.failed : EXIT_CODES.done, report);
  }
}
