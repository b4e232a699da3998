/** Flags, output and error handling shared by all commands. */
import { Command, Flags } from '@oclif/core';
import type { Result } from 'neverthrow';
import { createHttpPlatform, type HttpPlatformOptions } from '../core/platform/httpPlatform.js';
import type { StepError } from '../errors.js';
import type { PlatformClient } from '../types/interfaces.js';
import { EXIT_CODES, getExitCode } from './exitCodes.js';
import { explainFlags, explainUsage } from './suggestCommand.js';

/** Flag of commands that access the platform. */
export const PLATFORM_FLAG = {
  platform: Flags.string({
    description: 'URL of the platform object API',
    env: 'LYCHEELANE_PLATFORM',
    required: true,
  }),
};

/** Flags of commands that send requests to a node. */
export const NODE_FLAGS = {
  node: Flags.string({ description: 'URL of a node’s operator port', env: 'LYCHEELANE_NODE' }),
  'node-token': Flags.string({
    description: 'bearer token of the operator port',
    env: 'LYCHEELANE_NODE_TOKEN',
  }),
};

/** Flag of commands that work on files. */
export const DIR_FLAG = {
  dir: Flags.string({ description: 'directory of base.jsonc and overlays/', default: '.' }),
};

/** Errors passed by oclif; `parse` is set for errors in arguments or flags. */
interface CommandError extends Error {
  showHelp?: boolean;
  readonly code?: string;
  readonly exitCode?: number;
  readonly oclif?: { readonly exit?: number };
  readonly parse?: { readonly input?: { readonly flags?: Record<string, { env?: string }> } };
  /** Unknown flags in the arguments. */
  readonly flags?: readonly string[];
}

/** Text that oclif appends to usage errors. */
const OCLIF_HELP = '\nSee more help with --help';

/** Base of all commands: text for people, or one JSON value with `--json`. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  /** Adds the help command to usage errors. Sets the exit code, which oclif drops for `--json`. */
  protected override async catch(error: CommandError): Promise<unknown> {
    // Errors of `fail` have a code; usage errors have none.
    if (error.oclif?.exit === EXIT_CODES.faulty && error.code === undefined) {
      const flags = error.parse?.input?.flags ?? {};
      const text = error.flags
        ? explainFlags(error.flags, Object.keys(flags))
        : explainUsage(error.message.replace(OCLIF_HELP, ''), flags);
      const message = `${text}\nsee: lycheelane ${this.id?.replaceAll(':', ' ')} --help`;
      Object.assign(error, { message, showHelp: false });
    }
    const exitCode = error.oclif?.exit ?? EXIT_CODES.failed;
    process.exitCode = exitCode;
    if (!this.jsonEnabled()) return super.catch(error);
    // oclif would add the parsed input, which includes the values of secret flags.
    this.logJson({ error: { code: error.code, message: error.message, exitCode } });
    return undefined;
  }

  /** Ends the command with the message, the step and the peer of an error. */
  protected fail(error: StepError): never {
    const message = `${error.message} (step ${error.step}, ${error.peer})`;
    return this.error(message, { exit: getExitCode(error), code: error.kind });
  }

  /** Returns the value of a result, or ends the command with its error. */
  protected unwrap<Value>(result: Result<Value, StepError>): Value {
    return result.isOk() ? result.value : this.fail(result.error);
  }

  /** Calls `run` with a platform client and closes the client afterwards. */
  protected async withPlatform<Value>(
    url: string,
    run: (platform: PlatformClient) => Promise<Value>,
    limits: HttpPlatformOptions = {},
  ): Promise<Value> {
    if (!/^https?:\/\//.test(url) || !URL.canParse(url)) {
      const message = `--platform is not a URL: ${url}; expected one such as http://10.0.0.5:8000`;
      this.error(message, { exit: EXIT_CODES.faulty });
    }
    const platform = createHttpPlatform(url, limits);
    try {
      return await run(platform);
    } finally {
      await platform.close();
    }
  }
}
