/** Splits the data of a socket into lines. */
import type { Socket } from 'node:net';
import { from, fromEvent, type Stream } from 'most';
import { buildError } from '../../errors.js';
import { MAX_LINE_BYTES } from './limits.js';

const NEWLINE = 0x0a;

/** Received parts of a line that is not complete yet. */
interface PartialLine {
  readonly parts: Buffer[];
  readonly bytes: number;
}

function buildLineError(peer: string) {
  return buildError('too-large', 'peer.read', peer, `line exceeds ${MAX_LINE_BYTES} bytes`);
}

function splitChunk(state: PartialLine, chunk: Buffer, peer: string) {
  const lines: string[] = [];
  let { parts, bytes } = state;
  let start = 0;
  for (let end = chunk.indexOf(NEWLINE); end !== -1; end = chunk.indexOf(NEWLINE, start)) {
    const line = Buffer.concat([...parts, chunk.subarray(start, end)]);
    if (line.length > MAX_LINE_BYTES) throw buildLineError(peer);
    if (line.length > 0) lines.push(line.toString('utf8'));
    parts = [];
    bytes = 0;
    start = end + 1;
  }
  bytes += chunk.length - start;
  if (bytes > MAX_LINE_BYTES) throw buildLineError(peer);
  if (start < chunk.length) parts.push(chunk.subarray(start));
  return { seed: { parts, bytes }, value: lines };
}

/**
 * Returns a stream of the lines received on a socket until it closes. The stream fails with an
 * error of kind `too-large` if a line exceeds the limit. At most one incomplete line is buffered.
 */
export function createLineStream(socket: Socket, peer: string): Stream<string> {
  return fromEvent<Buffer>('data', socket)
    .until(fromEvent('close', socket))
    .loop((state: PartialLine, chunk) => splitChunk(state, chunk, peer), { parts: [], bytes: 0 })
    .chain((lines) => from(lines));
}
