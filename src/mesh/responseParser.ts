/** Response parser of `http-parser-js`, strict with header lines, framing and chunk sizes. */
import { HTTPParser, type HTTPParserJS } from 'http-parser-js';

/** Members of the parser that are missing from its type declarations. */
interface ParserInternals {
  state: string;
  /** Start of a line whose end was not received. */
  line: string;
  body_bytes: number | null;
  info: {
    versionMajor: number;
    versionMinor: number;
    statusCode: number;
    statusMessage: string;
  };
  consumeLine(): string | undefined;
  /** Ends the message. */
  nextRequest(): void;
}

/** Returns true for a line that was cut and joined with the status line of a later response. */
function hasLaterStatus(line: string): boolean {
  return line.includes('HTTP/1.', 1) && /.HTTP\/1\.[01] [1-9]\d{2}/.test(line);
}

const STATUS_LINE = /^HTTP\/(1)\.([01]) ([1-5]\d{2})(?: (.*))?$/;

/** Status of a server that goes on with another protocol, which no request here asks for. */
const SWITCH_STATUS = '101';

/** Returns true for the status of a response that is not an interim one (RFC 9110, section 15). */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= 200 && status <= 599;
}

/** Returns true for a status whose responses have no body, whatever their headers say. */
export function isBodiless(status: number): boolean {
  return status < 200 || status === 204 || status === 304;
}

/** Replaces the library's function, which reads a status of more digits as its first three. */
function readStatusLine(this: ParserInternals): void {
  const line = this.consumeLine();
  // Empty lines before a status line are skipped.
  if (line === undefined || line === '') return;
  const match = STATUS_LINE.exec(line);
  if (!match || hasLaterStatus(line)) throw new Error('invalid status line');
  const [, versionMajor, versionMinor, statusCode, statusMessage = ''] = match;
  if (statusCode === SWITCH_STATUS) throw new Error('unexpected switch of protocols');
  this.info.versionMajor = Number(versionMajor);
  this.info.versionMinor = Number(versionMinor);
  this.info.statusCode = Number(statusCode);
  this.info.statusMessage = statusMessage;
  if (isBodiless(this.info.statusCode)) this.body_bytes = 0;
  this.state = 'HEADER';
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
  if (!match || hasLaterStatus(line)) throw new Error('invalid header line');
  headers.push(match[1]!, match[2]!.trim());
}

/** Replaces the library's function, which collects all trailers; nothing of them is forwarded. */
function readTrailer(this: ParserInternals): void {
  const line = this.consumeLine();
  if (line === undefined) return;
  if (line === '') this.nextRequest();
  else parseHeader(line, []);
}

/** Returns why the end of a body is in doubt; undefined if it is not. */
export function explainInvalidFraming(headers: readonly string[]): string | undefined {
  const lengths: string[] = [];
  const encodings: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (name === 'content-length') lengths.push(headers[index + 1]!);
    if (name === 'transfer-encoding') encodings.push(headers[index + 1]!.toLowerCase());
  }
  // The parser never completes a message whose length is not a number.
  if (!lengths.every((length) => /^\d+$/.test(length))) return 'invalid length';
  if (encodings.length === 0) return undefined;
  if (lengths.length > 0) return 'length and transfer encoding';
  // The parser takes a body with any other encoding for one that ends with the connection.
  return encodings.length > 1 || encodings[0] !== 'chunked' ? 'invalid encoding' : undefined;
}

/** Returns true when the parser holds no bytes of a response that is not complete. */
export function isBetweenResponses(parser: HTTPParserJS): boolean {
  const { state, line } = parser as unknown as ParserInternals;
  return state === 'RESPONSE_LINE' && line === '';
}

/** Creates a parser for the responses of one connection. */
export function createResponseParser(): HTTPParserJS {
  const parser = new HTTPParser(HTTPParser.RESPONSE);
  return Object.assign(parser, {
    RESPONSE_LINE: readStatusLine,
    BODY_CHUNKHEAD: readChunkHeader,
    BODY_CHUNKTRAILERS: readTrailer,
    parseHeader,
  });
}
