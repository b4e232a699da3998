/** Starts of responses that no client may take for one, for servers on bare sockets. */

export interface InvalidStart {
  readonly name: string;
  /** Bytes before the header lines of a sound response. */
  readonly start: string;
}

/** Status lines that are malformed or name a status outside 100 to 599. */
export const INVALID_STATUS_LINES: readonly InvalidStart[] = [
  'HTTP/1.1 000 OK',
  'HTTP/1.1 001 OK',
  'HTTP/1.1 099 OK',
  'HTTP/1.1 600 OK',
  'HTTP/1.1 700 OK',
  'HTTP/1.1 999 OK',
  'HTTP/1.1 20 OK',
  'HTTP/1.1 2 OK',
  'HTTP/1.1 2000 OK',
  'HTTP/1.1 0200 OK',
  'HTTP/1.1 +200 OK',
  'HTTP/1.1 -200 OK',
  'HTTP/1.1 +20 OK',
  'HTTP/1.1 2e2 OK',
  'HTTP/1.1 0x2 OK',
  'HTTP/1.1 20x OK',
  'HTTP/1.1  200 OK',
  'HTTP/1.1 2 0 OK',
  'HTTP/1.1 20  OK',
  'HTTP/1.1\t200 OK',
  'HTTP/1.1 200\tOK',
  'HTTP/1.1200 OK',
  'HTTP/1.1 200OK',
  ' HTTP/1.1 200 OK',
  'HTTP/1.1 ',
  'HTTP/1.1',
  'HTTP/1.2 200 OK',
  'HTTP/2.0 200 OK',
  'HTTP/2 200 OK',
  'HTTP/0.9 200 OK',
  'HTTP/11.1 200 OK',
  'http/1.1 200 OK',
  'ICY 200 OK',
].map((line) => ({ name: JSON.stringify(line), start: `${line}\r\n` }));

/** Interim responses that must not be followed by a response, or have no end. */
export const INVALID_INTERIMS: readonly InvalidStart[] = [
  { name: 'an interim response with the status 099', start: 'HTTP/1.1 099 X\r\n\r\n' },
  { name: 'an interim response with the status 000', start: 'HTTP/1.1 000 X\r\n\r\n' },
  {
    name: 'a switch of protocols that was not asked for',
    start: 'HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
  },
  { name: 'a status 101 without a protocol', start: 'HTTP/1.1 101 X\r\n\r\n' },
  {
    name: 'an interim response with a body',
    start: 'HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nbody',
  },
].map(({ name, start }) => ({ name, start: `${start}HTTP/1.1 200 OK\r\n` }));

/** Bytes after which a server sends nothing more, and leaves its connection open. */
export const UNFINISHED_INTERIMS: readonly InvalidStart[] = [
  { name: 'an interim status line', start: 'HTTP/1.1 103 Early' },
  { name: 'the header of an interim response', start: 'HTTP/1.1 103 X\r\nA: b\r\n' },
  { name: 'an interim response', start: 'HTTP/1.1 103 X\r\n\r\n' },
  { name: 'a status 102', start: 'HTTP/1.1 102 X\r\nContent-Length: 4\r\n\r\n' },
];

/** Protocol versions that the parser of undici accepts and does not pass on. */
export const UNDICI_VERSIONS: ReadonlySet<string> = new Set(
  ['HTTP/2.0 200 OK', 'HTTP/0.9 200 OK'].map((line) => JSON.stringify(line)),
);
