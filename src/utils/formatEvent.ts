/** Formatting of log events as one line of key=value pairs. */

/** Fields of a log event; undefined values are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

const PLAIN_VALUE = /^[\w.:/@+-]+$/;

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}

/** Formats one event as key=value pairs; values with special characters become JSON strings. */
export function formatEvent(level: string, event: string, fields: LogFields): string {
  const pairs = [`time=${new Date().toISOString()}`, `level=${level}`, `event=${event}`];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${key}=${formatValue(value)}`);
  }
  return pairs.join(' ');
}
