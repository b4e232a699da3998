import { Args } from '@oclif/core';
import { BaseCommand, PLATFORM_FLAG } from '../../baseCommand.js';
import type { OperationState } from '../../../core/config/findOperation.js';
import { readOperation } from '../../../core/config/readOperation.js';
import { EXIT_CODES, finishCommand } from '../../exitCodes.js';

/** `lycheelane config status OPERATION` */
export default class ConfigStatus extends BaseCommand {
  static override summary = 'Show whether an operation was accepted.';

  static override args = {
    operation: Args.string({ description: 'operation id printed by apply', required: true }),
  };

  static override flags = { ...PLATFORM_FLAG };

  /** Runs the command. */
  async run() {
    const { args, flags } = await this.parse(ConfigStatus);
    const status = this.unwrap(
      await this.withPlatform(flags.platform, (platform) =>
        readOperation(platform, args.operation),
      ),
    );
    return finishCommand(this.printStatus(args.operation, status), status);
  }

  private printStatus(operation: string, status: OperationState): number {
    switch (status.kind) {
      case 'accepted':
        this.log(`operation ${operation} was accepted as version ${status.version}`);
        return EXIT_CODES.done;
      case 'superseded':
        this.log(
          `operation ${operation} was not accepted and cannot be: another edit has its version`,
        );
        return EXIT_CODES.failed;
      case 'open':
        this.log(
          `operation ${operation} is not accepted yet: the head is at version ` +
            `${status.headVersion}; apply again to resolve it`,
        );
        return EXIT_CODES.unknown;
      case 'untraceable':
        this.log(`operation ${operation} is not among the retained versions`);
        return EXIT_CODES.unknown;
      default:
        return status satisfies never;
    }
  }
}
