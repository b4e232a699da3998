/** Flags and errors of commands that read the metrics pages of nodes. */
import { Flags } from '@oclif/core';
import type { StepError } from '../../errors.js';
import { BaseCommand } from '../baseCommand.js';
import { EXIT_CODES, finishCommand } from '../exitCodes.js';
import { fetchPages, parsePageUrl, type ReadPages } from './fetchPages.js';

export const METRICS_FLAG = {
  metrics: Flags.string({
    description: 'URL of the metrics page of a node; give one for each node',
    multiple: true,
    required: true,
  }),
};

/** An error as `--json` prints it. */
export interface PrintedError {
  readonly peer: string;
  readonly step: string;
  readonly message: string;
}

export abstract class MetricsCommand extends BaseCommand {
  /** Parses the flag; each page is read once, however often it is named. */
  protected parseUrls(texts: readonly string[]): URL[] {
    const urls = texts.map((text) => this.unwrap(parsePageUrl(text)));
    return [...new Map(urls.map((url) => [url.host, url])).values()];
  }

  /** Reads the pages; ends the command if none of them can be read. */
  protected async readPages(urls: readonly URL[]): Promise<ReadPages> {
    const read = await fetchPages(urls);
    const [error] = read.errors;
    if (error && read.pages.length === 0) this.fail(error);
    return read;
  }

  /** Names the pages that were not read; what the others show is incomplete then. */
  protected finish<Value extends object>(
    value: Value,
    errors: readonly StepError[],
  ): Value & { unread: PrintedError[] } {
    const unread = errors.map(({ peer, step, message }) => ({ peer, step, message }));
    for (const { peer, step, message } of unread) {
      this.log(`not read: ${message} (step ${step}, ${peer})`);
    }
    const code = unread.length > 0 ? EXIT_CODES.failed : EXIT_CODES.done;
    return finishCommand(code, { ...value, unread });
  }
}
