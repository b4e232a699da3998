/** Deltas between bundles (JSON Patch, RFC 6902). */
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

/** Returns the delta from `baseBundle` to `bundle`, or the whole bundle if that is smaller. */
export function diffBundles(baseBundle: Bundle, bundle: Bundle): ConfigFetchAnswer {
  const { base, overlays, ...envelope } = bundle;
  const operations = compare(toContent(baseBundle), { base, overlays });
  const patch = operations as unknown as ConfigPatch['patch'];
  const delta: ConfigPatch = { kind: 'patch', fromDigest: baseBundle.digest, envelope, patch };
  const whole: ConfigFetchAnswer = { kind: 'whole', bundle: { ...bundle } };
  const isSmaller = JSON.stringify(delta).length < JSON.stringify(whole).length;
  return isSmaller ? delta : whole;
}

/**
 * Applies a delta and verifies the resulting bundle by its digest.
 * Errors: kind `mismatch` when the base bundle is not available or the digest of the result does
 * not match, `invalid` when the operations cannot be applied.
 */
export function applyDelta(
  delta: ConfigPatch,
  baseBundle: Bundle | undefined,
  source: string,
): Result<Bundle, StepError> {
  const step = 'config.patch';
  if (baseBundle?.digest !== delta.fromDigest) {
    const reason = `base bundle ${delta.fromDigest} of the delta is not available`;
    return err(buildError('mismatch', step, source, reason));
  }
  try {
    const operations = delta.patch as unknown as Operation[];
    const { newDocument } = applyPatch(toContent(baseBundle), operations, true, false, true);
    return verifyBundle({ ...delta.envelope, ...newDocument }, source);
  } catch (thrown) {
    const { message } = toStepError(thrown, step, source);
    return err(buildError('invalid', step, source, message.split('\n')[0] ?? message, thrown));
  }
}
