/** Functions for raw headers: alternating names and values, in the order received. */

/** Names of the headers that the mesh reads and sets; supplied by the platform adapter. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  readonly signature: string;
  readonly targetInstance: string;
  /** Response header of a health check: the identifier of the instance. */
  readonly instanceId: string;
  readonly notExecuted: string;
  readonly callerService: string;
  /** Request header with a key of a client account. */
  readonly accountKey: string;
  /** Request header for the instance: the name of the client account. */
  readonly accountName: string;
  /** Response header: requests per second that the instance accepts from all nodes together. */
  readonly requestLimit: string;
  /** Response header of an instance that is about to shut down. */
  readonly leaving: string;
}

/**
 * Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1),
 * `content-length` and `expect`.
 */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Returns the first value of a header; names are compared case-insensitively. */
export function getHeader(headers: readonly string[], name: string): string | undefined {
  const lowerCaseName = name.toLowerCase();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const other = headers[index]!;
    // Case changes no length of a header name, and most names differ in length.
    if (other.length === name.length && other.toLowerCase() === lowerCaseName) {
      return headers[index + 1];
    }
  }
  return undefined;
}

const EMPTY_NAMES: ReadonlySet<string> = new Set();

/** Returns the headers that the header `connection` lists, in lower case. */
function listConnectionOptions(headers: readonly string[]): ReadonlySet<string> {
  const text = getHeader(headers, 'connection');
  if (text === undefined) return EMPTY_NAMES;
  return new Set(text.split(',').map((name) => name.trim().toLowerCase()));
}

/** True when the header `connection` lists a header, which is then not forwarded. */
export function isConnectionOption(headers: readonly string[], name: string): boolean {
  return listConnectionOptions(headers).has(name.toLowerCase());
}

/**
 * Returns the headers without hop-by-hop headers, including those that `connection` lists, and
 * without those in `removed` (lower-case names).
 */
export function filterHeaders(
  headers: readonly string[],
  removed: ReadonlySet<string> = EMPTY_NAMES,
): string[] {
  const connectionOptions = listConnectionOptions(headers);
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name) || removed.has(name)) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
