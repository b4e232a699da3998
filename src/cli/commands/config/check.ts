import { BaseCommand, DIR_FLAG } from '../../baseCommand.js';
import { checkFiles, formatFileFault } from '../../config/checkFiles.js';
import { readWorkingFiles } from '../../config/workingFiles.js';
import { EXIT_CODES, finishCommand } from '../../exitCodes.js';

/** `lycheelane config check` */
export default class ConfigCheck extends BaseCommand {
  static override summary = 'Check the files and list every fault with its position.';

  static override flags = { ...DIR_FLAG };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ConfigCheck);
    const working = this.unwrap(await readWorkingFiles(flags.dir));
    const faults = checkFiles(working);
    faults.forEach((fault) => this.log(formatFileFault(fault)));
    const sites = working.files.length - 1;
    const count = faults.length === 1 ? '1 fault' : `${faults.length || 'no'} faults`;
    this.log(`${count} in the base and ${sites} overlays`);
    return finishCommand(faults.length > 0 ? EXIT_CODES.faulty : EXIT_CODES.done, { faults });
  }
}
