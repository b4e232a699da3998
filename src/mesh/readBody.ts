import type { IncomingMessage } from 'node:http';
import type { HeldRequestBody } from './requestMemory.js';

const EMPTY_BODY = Buffer.alloc(0);

/** Reason why a body could not be read; `no-memory` when it was given up for other bodies. */
export type BodyError = 'too-large' | 'truncated' | 'no-memory';

/** Collects the parts of a body; one of a known length is copied once, into its final place. */
class BodyParts {
  private readonly parts: Buffer[] = [];

  private whole: Buffer | undefined;

  private bytes = 0;

  constructor(private readonly expectedBytes: number) {}

  append(part: Buffer): void {
    if (this.bytes === 0 && part.length < this.expectedBytes) {
      this.whole = Buffer.allocUnsafe(this.expectedBytes);
    }
    if (this.whole) part.copy(this.whole, this.bytes);
    else this.parts.push(part);
    this.bytes += part.length;
  }

  toBuffer(): Buffer {
    if (this.whole) return this.whole;
    const [first = EMPTY_BODY, ...others] = this.parts;
    return others.length === 0 ? first : Buffer.concat(this.parts);
  }
}

/** Returns the length of a body that a request names, in bytes; 0 if it names none. */
function getLength({ headers }: IncomingMessage, maxBytes: number): number {
  const length = Number(headers['content-length'] ?? 0);
  return Number.isSafeInteger(length) && length <= maxBytes ? length : 0;
}

/** Reads the body of a request of at most `maxBytes`; `held` counts it while it is read. */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
  held?: HeldRequestBody,
): Promise<Buffer | BodyError> {
  return new Promise((resolve) => {
    let parts: BodyParts | undefined = new BodyParts(getLength(message, maxBytes));
    let bytes = 0;
    const settle = (result: Buffer | BodyError) => {
      parts = undefined;
      resolve(result);
    };
    held?.onGiveUp(() => settle('no-memory'));
    message.on('data', (part: Buffer) => {
      if (!parts) return;
      bytes += part.length;
      if (bytes > maxBytes) {
        settle('too-large');
        return;
      }
      parts.append(part);
      held?.grow(part.length);
    });
    message.once('end', () => {
      held?.complete();
      settle(parts?.toBuffer() ?? EMPTY_BODY);
    });
    message.once('close', () => settle('truncated'));
    message.once('error', () => settle('truncated'));
  });
}
