/** The library's response parser, with its lenient handling of lengths made strict. */
import { HTTPParser, type HTTPParserJS } from 'http-parser-js';

/** States and steps of the library's parser that its type declarations leave out. */
interface ParserInternals {
  state: string;
  body_bytes: number;
  consumeLine(): string | undefined;
}

const CHUNK_HEAD = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i;

/** The library takes a chunk size that is no number for the last chunk. */
function readChunkHead(this: ParserInternals): void {
  const line = this.consumeLine();
  if (line === undefined) return;
  if (!CHUNK_HEAD.test(line)) throw new Error('invalid chunk size');
  this.body_bytes = Number.parseInt(line, 16);
  this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
}

/** Creates a parser for the responses of one connection. */
export function createResponseParser(): HTTPParserJS {
  const parser = new HTTPParser(HTTPParser.RESPONSE);
  return Object.assign(parser, { BODY_CHUNKHEAD: readChunkHead });
}
