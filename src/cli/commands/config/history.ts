import { Flags } from '@oclif/core';
import { listHistory } from '../../../core/config/listHistory.js';
import { RETAINED_VERSIONS } from '../../../core/config/pruneBundles.js';
import { BaseCommand, PLATFORM_FLAG } from '../../baseCommand.js';

/** Hexadecimal digits of the digest that are printed. */
const DIGEST_PREFIX_LENGTH = 12;

/** `lycheelane config history` */
export default class ConfigHistory extends BaseCommand {
  static override summary = 'List accepted versions, newest first.';

  static override flags = {
    ...PLATFORM_FLAG,
    limit: Flags.integer({
      description: 'maximum number of versions',
      default: 20,
      min: 1,
      max: RETAINED_VERSIONS,
    }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(ConfigHistory);
    const versions = this.unwrap(
      await this.withPlatform(flags.platform, (platform) => listHistory(platform, flags.limit)),
    );
    for (const { version, operationId, digest, acceptedAtMs, author } of versions) {
      const time = acceptedAtMs === undefined ? '-' : new Date(acceptedAtMs).toISOString();
      const digestPrefix = digest.slice(0, DIGEST_PREFIX_LENGTH);
      this.log(`${version}  ${time}  ${operationId}  ${digestPrefix}  ${author ?? '-'}`);
    }
    if (versions.length === 0) {
      // The URL is printed because a server that is not the platform also answers 404.
      this.log(`no version is accepted yet at ${flags.platform}`);
    }
    return { versions };
  }
}
