const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the time in a UUIDv7 (RFC 9562) in milliseconds, or undefined for any other text. */
export function parseUuidTime(text: string): number | undefined {
  if (!UUID_V7.test(text)) return undefined;
  return Number.parseInt(text.slice(0, 8) + text.slice(9, 13), 16);
}
