import { Flags } from '@oclif/core';
import { pruneOrphanedBundles } from '../../../core/config/pruneOrphanedBundles.js';
import { BaseCommand, PLATFORM_FLAG } from '../../baseCommand.js';
import { EXIT_CODES, finishCommand } from '../../exitCodes.js';

const MS_PER_HOUR = 3_600_000;
/** 512 bundles of 512 KiB, which is about the maximum length of a string in Node.js. */
const LIST_LIMITS = { maxListBytes: 268_435_456, timeoutMs: 60_000 };

/** `lycheelane config prune` */
export default class ConfigPrune extends BaseCommand {
  static override summary =
    'Remove orphaned bundles, left by applies that crashed or were superseded.';

  static override description =
    'A bundle is removed only when another edit was accepted as its version or the version is no ' +
    'longer retained. A bundle of a version above the accepted one is kept, because its apply ' +
    'may still complete.';

  static override flags = {
    ...PLATFORM_FLAG,
    'min-age': Flags.integer({
      description:
        'minimum age of removed bundles in hours; `config status` can report on younger ones',
      default: 24,
      min: 0,
    }),
    'dry-run': Flags.boolean({ description: 'list the bundles without removing them' }),
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
      `${removed.length} orphaned; kept: ${kept.accepted} accepted, ${kept.open} open, ` +
        `${kept.recent} younger than ${flags['min-age']} h, ${kept.unclear} unclear, ` +
        `${kept.malformed} malformed`,
    );
    return finishCommand(failed.length > 0 ? EXIT_CODES.failed : EXIT_CODES.done, report);
  }
}
