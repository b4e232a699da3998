/** Response parser of `http-parser-js` with strict validation of header lines and chunk sizes. */
import { HTTPParser, type HTTPParserJS } from 'http-parser-js';

/** Members of the parser that are missing from its type declarations. */
interface ParserInternals {
  state: string;
  body_bytes: number;
  consumeLine(): string | undefined;
}

const CHUNK_HEADER = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i;

/** Replaces the library's function, which treats a non-numeric chunk size as the last chunk. */
function readChunkHeader(this: ParserInternals): void {
  const line = this.consumeLine();
  if (line === undefined) return;
  if (!CHUNK_HEADER.test(line)) throw new Error('invalid chunk size');
  this.body_bytes = Number.parseInt(line, 16);
  this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
}

/**
 * A header line: a name, a colon and a value, of the characters that may be forwarded (RFC 9110,
 * section 5.5).
 */
const HEADER_LINE = /^([\w!#$%&'*+.^`|~-]+):([\t\x20-\x7e\x80-\xff]*)$/;

// The default, ASCII, drops the highest bit, which turns some bytes into line feeds.
HTTPParser.encoding = 'latin1';

/** Replaces the library's function, which skips a malformed line, even one with the length. */
function parseHeader(line: string, headers: string[]): void {
  const match = HEADER_LINE.exec(line);
  if (!match) throw new Error('invalid header line');
  headers.push(match[1]!, match[2]!.trim());
}

/** Creates a parser for the responses of one connection. */
export function createResponseParser(): HTTPParserJS {
  const parser = new HTTPParser(HTTPParser.RESPONSE);
  return Object.assign(parser, { BODY_CHUNKHEAD: readChunkHeader, parseHeader });
}
