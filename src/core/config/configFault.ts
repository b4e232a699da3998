/** Faults of a configuration, in terms of the file that has to change. */

/** Keys and indexes from the root of a file to a value. */
export type JsonPath = readonly (string | number)[];

/** One fault. The site is empty when the base file has to change. */
export interface ConfigFault {
  readonly site: string;
  readonly path: JsonPath;
  /** True when the position is the key at `path`, not its value. */
  readonly atKey: boolean;
  readonly message: string;
  /** What would be right. */
  readonly expected: string;
}

/** Formats a path as text, for example `services.padbook.slots` or `routes.a.match.methods[0]`. */
export function formatPath(path: JsonPath): string {
  let text = '';
  for (const part of path) {
    if (typeof part === 'number') text += `[${part}]`;
    else if (/^[\w-]+$/.test(part)) text += text === '' ? part : `.${part}`;
    else text += `[${JSON.stringify(part)}]`;
  }
  return text === '' ? '(top level)' : text;
}

/** Formats a fault without a file position, as nodes report it. */
export function formatFault(fault: ConfigFault): string {
  const file = fault.site === '' ? 'base' : `overlay ${fault.site}`;
  return `${file}: ${formatPath(fault.path)}: ${fault.message}; expected ${fault.expected}`;
}

/** Returns the value at a path, or undefined when there is none. */
export function getAtPath(value: unknown, path: JsonPath): unknown {
  let current = value;
  for (const part of path) {
    if (current === null || typeof current !== 'object' || !Object.hasOwn(current, part)) {
      return undefined;
    }
    current = (current as Record<string | number, unknown>)[part];
  }
  return current;
}

/** Converts a JSON Pointer (RFC 6901) into a path; digits index only into arrays of `value`. */
export function parsePointer(pointer: string, value: unknown): (string | number)[] {
  const path: (string | number)[] = [];
  let current = value;
  for (const raw of pointer.split('/').slice(1)) {
    const part = raw.replaceAll('~1', '/').replaceAll('~0', '~');
    path.push(Array.isArray(current) ? Number(part) : part);
    current = getAtPath(current, path.slice(-1));
  }
  return path;
}
