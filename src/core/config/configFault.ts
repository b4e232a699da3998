/** Validation faults of a configuration and JSON paths to their positions. */

/** Keys and indexes from the root of a file to a value. */
export type JsonPath = readonly (string | number)[];

/** A validation fault. The site names the overlay to correct; it is empty for the base. */
export interface ConfigFault {
  readonly site: string;
  readonly path: JsonPath;
  /** True when the fault concerns the key at `path`, false when it concerns the value. */
  readonly atKey: boolean;
  readonly message: string;
  /** Description of a valid value. */
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

/** Formats a fault without line and column, for reports of nodes. */
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

/** Converts a JSON Pointer (RFC 6901) to a path; digits are indexes only in arrays of `value`. */
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
