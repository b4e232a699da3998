import { Flags } from '@oclif/core';
import { checkConfig } from '../../../core/config/checkConfig.js';
import { renderSite } from '../../../core/config/renderSite.js';
import { BaseCommand, DIR_FLAG } from '../../baseCommand.js';
import { checkFiles, formatFileFault } from '../../config/checkFiles.js';
import { getContent, readWorkingFiles } from '../../config/workingFiles.js';
import { EXIT_CODES, finishCommand } from '../../exitCodes.js';

/** `lycheelane config render --site SITE` */
export default class ConfigRender extends BaseCommand {
  static override summary = 'Print the effective configuration of a site.';

  static override flags = {
    ...DIR_FLAG,
    site: Flags.string({ description: 'name of the data centre', required: true }),
    defaults: Flags.boolean({ description: 'fill in the defaults of the schema' }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ConfigRender);
    const working = this.unwrap(await readWorkingFiles(flags.dir));
    const faults = checkFiles(working);
    if (faults.length > 0) {
      faults.forEach((fault) => this.logToStderr(formatFileFault(fault)));
      return finishCommand(EXIT_CODES.faulty, { faults });
    }
    const content = getContent(working);
    const hasOverlay = Object.hasOwn(content.overlays, flags.site);
    if (!hasOverlay) this.warn(`there is no overlay for ${flags.site}; it uses the base`);
    const rendered = flags.defaults
      ? checkConfig(content).sites.get(hasOverlay ? flags.site : '')
      : renderSite(content, flags.site);
    this.log(JSON.stringify(rendered, null, 2));
    return rendered;
  }
}
