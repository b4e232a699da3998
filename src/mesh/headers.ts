/** Headers as alternating names and values, in the order in which they came. */

/** Names of the headers that the mesh reads and sets; the adapter supplies them. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  readonly signature: string;
  readonly targetInstance: string;
  readonly notExecuted: string;
  readonly callerService: string;
}

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and lengths. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** Returns the first value of a header. */
export function getHeader(headers: readonly string[], name: string): string | undefined {
  const wanted = name.toLowerCase();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === wanted) return headers[index + 1];
  }
  return undefined;
}

const NO_NAMES: ReadonlySet<string> = new Set();

/** Returns the headers without those of one connection and without `removed` (lower case). */
export function filterHeaders(
  headers: readonly string[],
  removed: ReadonlySet<string> = NO_NAMES,
): string[] {
  const named = new Set(
    (getHeader(headers, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (CONNECTION_HEADERS.has(name) || named.has(name) || removed.has(name)) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
