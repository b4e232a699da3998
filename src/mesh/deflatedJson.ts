/** Encodes answers between nodes as deflated JSON, since their entries resemble each other. */
import { promisify } from 'node:util';
import { deflateRaw, inflateRaw, type InputType, type ZlibOptions } from 'node:zlib';
import { err, ok, type Result } from 'neverthrow';
import { toStepError, type StepError } from '../errors.js';

/** Limit on the decoded size of an answer, in bytes. */
const MAX_DECODED_BYTES = 32 * 1024 * 1024;

const deflate = promisify<InputType, Buffer>(deflateRaw);
const inflate = promisify<InputType, ZlibOptions, Buffer>(inflateRaw);

/** Bodies by the value that they are for; most requests after a change get the same one. */
const encodedValues = new WeakMap<object, Promise<Buffer>>();

/** Rejects when the value cannot be encoded, as when it is nested too deeply. */
async function encode(value: object): Promise<Buffer> {
  return deflate(JSON.stringify(value));
}

/** Encodes a value as the body of a response; once for all values with the same `key`. */
export function encodeDeflated(value: object, key: object = value): Promise<Buffer> {
  const known = encodedValues.get(key);
  if (known) return known;
  const encoded = encode(value);
  encodedValues.set(key, encoded);
  return encoded;
}

/** Decodes a body of the node `peer`; its content is still to be checked. */
export async function decodeDeflated(
  body: Buffer,
  step: string,
  peer: string,
): Promise<Result<unknown, StepError>> {
  try {
    const json = await inflate(body, { maxOutputLength: MAX_DECODED_BYTES });
    return ok(JSON.parse(json.toString('utf8')));
  } catch (thrown) {
    return err(toStepError(thrown, step, peer));
  }
}
