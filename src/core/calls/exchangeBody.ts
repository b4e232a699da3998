/** Body of a response that a node streams on. */
import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';

/**
 * A body that undici's parser fills; reading it lets the parser go on. A class costs less for each
 * call than a `Readable` that gets its methods as options.
 */
export class ExchangeBody extends Readable {
  constructor(
    private readonly controller: Dispatcher.DispatchController,
    highWaterMark: number,
    private readonly onDestroy: (error: Error | null) => void,
  ) {
    super({ highWaterMark });
  }

  override _read(): void {
    this.controller.resume();
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.onDestroy(error);
    done(error);
  }
}
