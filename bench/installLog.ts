/** Times at which nodes enforced a version, read from their log lines. */

/** One `config-installed` event. */
export interface Install {
  readonly version: number;
  /** Wall clock in milliseconds; all processes of a mesh share one clock. */
  readonly atMs: number;
}

const INSTALLED = /^time=(\S+) .*event=config-installed .*\bversion=(\d+)/;

/** Reads an install from a log line; undefined for any other line. */
export function parseInstall(line: string): Install | undefined {
  const [, time, version] = INSTALLED.exec(line) ?? [];
  if (time === undefined) return undefined;
  const atMs = Date.parse(time);
  if (Number.isNaN(atMs)) throw new RangeError(`log line without a time: ${line}`);
  return { version: Number(version), atMs };
}

/** Returns when a log first shows this version or a later one in force. */
export function findInstalledAtMs(lines: readonly string[], version: number): number | undefined {
  for (const line of lines) {
    const install = parseInstall(line);
    if (install && install.version >= version) return install.atMs;
  }
  return undefined;
}
