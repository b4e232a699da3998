/** Body of a response that a node streams to its caller. */
import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';

/**
 * A stream filled by undici's parser; reading from it resumes the parser. A subclass costs less per
 * call than a `Readable` with its methods passed as options.
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
