/** Differences between bundles (JSON Patch, RFC 6902). */
import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { err, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { Bundle, ConfigFetchAnswer, ConfigPatch } from '../../generated/types.js';
import { verifyBundle } from './verify.js';

const { compare, applyPatch } = fastJsonPatch;

type Content = Pick<Bundle, 'base' | 'overlays'>;

function toContent({ base, overlays }: Bundle): Content {
  return { base, overlays };
}

/** Returns the difference from one bundle to another, or the whole bundle when that is smaller. */
export function diffBundles(held: Bundle, bundle: Bundle): ConfigFetchAnswer {
  const { base, overlays, ...envelope } = bundle;
  const operations = compare(toContent(held), { base, overlays });
  const patch = operations as unknown as ConfigPatch['patch'];
  const difference: ConfigPatch = { kind: 'patch', fromDigest: held.digest, envelope, patch };
  const whole: ConfigFetchAnswer = { kind: 'whole', bundle: { ...bundle } };
  const isSmaller = JSON.stringify(difference).length < JSON.stringify(whole).length;
  return isSmaller ? difference : whole;
}

/**
 * Rebuilds a bundle from a difference and verifies it by its digest.
 * Errors: kind `mismatch` when the base of the difference is not held or the result differs,
 * `invalid` when the operations cannot be applied.
 */
export function applyDifference(
  difference: ConfigPatch,
  held: Bundle | undefined,
  source: string,
): Result<Bundle, StepError> {
  const step = 'config.patch';
  if (held?.digest !== difference.fromDigest) {
    const reason = `the difference starts from ${difference.fromDigest}, which is not held`;
    return err(buildError('mismatch', step, source, reason));
  }
  try {
    const operations = difference.patch as unknown as Operation[];
    const { newDocument } = applyPatch(toContent(held), operations, true, false, true);
    return verifyBundle({ ...difference.envelope, ...newDocument }, source);
  } catch (thrown) {
    const { message } = toStepError(thrown, step, source);
    return err(buildError('invalid', step, source, message.split('\n')[0] ?? message, thrown));
  }
}
