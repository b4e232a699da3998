import { Flags } from '@oclif/core';
import { diffContent } from '../../../core/config/diffContent.js';
import { readAccepted } from '../../../core/config/readAccepted.js';
import { renderSite } from '../../../core/config/renderSite.js';
import { BaseCommand, DIR_FLAG, PLATFORM_FLAG } from '../../baseCommand.js';
import { checkLayers } from '../../../core/config/checkConfig.js';
import { formatChange } from '../../config/formatOutput.js';
import { getContent, readWorkingFiles } from '../../config/workingFiles.js';
import { EXIT_CODES } from '../../exitCodes.js';

/** `lycheelane config diff [--site SITE]` */
export default class ConfigDiff extends BaseCommand {
  static override summary = 'Show the differences between the accepted version and the files.';

  static override flags = {
    ...DIR_FLAG,
    ...PLATFORM_FLAG,
    site: Flags.string({ description: 'compare the effective configuration of this site only' }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ConfigDiff);
    const working = this.unwrap(await readWorkingFiles(flags.dir));
    const ours = getContent(working);
    const isFaulty = working.files.some(({ faults }) => faults.length > 0);
    if (isFaulty || checkLayers(ours).length > 0) {
      this.error('the files have faults; see `lycheelane config check`', {
        exit: EXIT_CODES.faulty,
      });
    }
    const accepted = this.unwrap(await this.withPlatform(flags.platform, readAccepted));
    const { site } = flags;
    const changes =
      site === undefined
        ? diffContent(accepted.content, ours)
        : diffContent(renderSite(accepted.content, site), renderSite(ours, site));
    const version = accepted.head?.value.version ?? 0;
    if (changes.length === 0) this.log(`no difference from version ${version}`);
    changes.forEach((change) => this.log(formatChange(change)));
    return { version, changes };
  }
}
