import { createHash } from 'node:crypto';
import canonicalize from 'canonicalize';
import type { Digest } from '../types/ids.js';

/**
 * Returns the SHA-256 of the canonical JSON (RFC 8785) of a value, as lower-case hexadecimal.
 * Throws for values without a canonical form: lone surrogates and numbers that are not finite.
 */
export function computeDigest(value: unknown): Digest {
  const canonicalJson = canonicalize(value) ?? 'null';
  return createHash('sha256').update(canonicalJson).digest('hex') as Digest;
}

/** True when the value hashes to the digest; false also when it has no canonical form. */
export function hasDigest(value: unknown, digest: string): boolean {
  try {
    return computeDigest(value) === digest;
  } catch {
    return false;
  }
}
