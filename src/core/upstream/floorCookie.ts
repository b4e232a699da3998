/** The cookie of announcement answers: it carries the host's floor across a daemon restart. */
import type { VersionTag } from '../../types/interfaces.js';
import { brandText, brandVersion, type Digest } from '../../types/ids.js';

const DIGEST_FORM = /^[0-9a-f]{64}$/;

/** Encodes a version and its digest as an opaque text. */
export function encodeFloorCookie(tag: VersionTag): string {
  return Buffer.from(JSON.stringify([tag.version, tag.digest])).toString('base64url');
}

/** Decodes a cookie; undefined when it is malformed or names no version. */
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
  if (typeof digest !== 'string' || !DIGEST_FORM.test(digest)) return undefined;
  return { version: brandVersion(version as number), digest: brandText<Digest>(digest) };
}
