/**
 * The cookie of announcement answers. Upstreams send it back, so that a restarted daemon recovers
 * its floor, the highest configuration version known to be accepted.
 */
import type { VersionTag } from '../../types/interfaces.js';
import { brandText, brandVersion, type Digest } from '../../types/ids.js';

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

/** Encodes a version and its digest as an opaque string. */
export function encodeFloorCookie(tag: VersionTag): string {
  return Buffer.from(JSON.stringify([tag.version, tag.digest])).toString('base64url');
}

/** Decodes a cookie; undefined when it is malformed or contains no version. */
export function decodeFloorCookie(cookie: string): VersionTag | undefined {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(cookie, 'base64url').toString('utf8'));
  } catch {
    return undefined;
  }
  if (!Array.isArray(value)) return undefined;
  const [version, digest] = value as unknown[];
  if (!Number.isSafeInteger(version) || (version as number) < 1) return undefined;
  if (typeof digest !== 'string' || !DIGEST_PATTERN.test(digest)) return undefined;
  return { version: brandVersion(version as number), digest: brandText<Digest>(digest) };
}
