/** Formatting of log events as one line of key=value pairs. */

/** Fields of a log event; undefined values are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

const PLAIN_VALUE = /^[\w.:/@+-]+$/;

function formatValue(value: string | number | boolean): string {
  if (typeof value !== 'string') return String(value);
  return PLAIN_VALUE.test(value) ? value : JSON.stringify(value);
}

/** Formats fields as key=value pairs with a blank before each; special characters become JSON. */
export function formatFields(fields: LogFields): string {
  let text = '';
  for (const key of Object.keys(fields)) {
    const value = fields[key];
    if (value !== undefined) text += ` ${key}=${formatValue(value)}`;
  }
  return text;
}

/**
 * Formats one event as key=value pairs; values with special characters become JSON strings.
 * `commonText` holds fields that were formatted before.
 */
export function formatEvent(
  level: string,
  event: string,
  fields: LogFields,
  commonText = '',
): string {
  const head = `time=${new Date().toISOString()} level=${level} event=${event}`;
  return `${head}${commonText}${formatFields(fields)}`;
}
