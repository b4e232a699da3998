import { createHash } from 'node:crypto';
import canonicalize from 'canonicalize';
import type { Digest } from '../types/ids.js';

/** Returns the SHA-256 of the canonical JSON (RFC 8785) of a value, as lower-case hexadecimal. */
export function computeDigest(value: unknown): Digest {
  const text = canonicalize(value) ?? 'null';
  return createHash('sha256').update(text).digest('hex') as Digest;
}
