/** Spill-over policies of the regions, which operators configure in a JSON file with comments. */
import { readFile } from 'node:fs/promises';
import { parse, type ParseError } from 'jsonc-parser';
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../errors.js';
import type { SpillOverPolicy } from './instanceSelection.js';

const STEP = 'regions.read';

/** Base policy, and the fields that each region overrides. */
export interface RegionPolicies {
  readonly base: SpillOverPolicy;
  readonly overlays: Readonly<Record<string, Partial<SpillOverPolicy>>>;
}

const POLICY_KEYS: readonly string[] = ['waitShare', 'spillRank'];

function validatePolicy(value: unknown, path: string): Partial<SpillOverPolicy> {
  if (typeof value !== 'object' || value === null) throw new Error(`${path} must be an object`);
  for (const [key, entry] of Object.entries(value)) {
    if (!POLICY_KEYS.includes(key)) {
      throw new Error(`${path}.${key} is unknown; known: ${POLICY_KEYS.join(', ')}`);
    }
    if (typeof entry !== 'number' || !(entry >= 0)) {
      throw new Error(
        `${path}.${key} must be a non-negative number, found ${JSON.stringify(entry)}`,
      );
    }
  }
  return value;
}

/** Parses and validates the contents of the file; `path` is used in error messages. */
export function decodeRegions(text: string, path: string): Result<RegionPolicies, StepError> {
  const parseErrors: ParseError[] = [];
  const value = parse(text, parseErrors, { allowTrailingComma: true }) as Record<string, unknown>;
  if (parseErrors[0]) {
    return err(
      buildError('invalid', STEP, path, `syntax error at offset ${parseErrors[0].offset}`),
    );
  }
  try {
    const { base, overlays = {} } = value;
    const basePolicy = validatePolicy(base, 'base');
    for (const key of POLICY_KEYS) {
      if (!(key in basePolicy)) throw new Error(`base.${key} is missing`);
    }
    const entries = Object.entries(overlays as object).map(
      ([region, policy]) => [region, validatePolicy(policy, `overlays.${region}`)] as const,
    );
    return ok({ base: basePolicy as SpillOverPolicy, overlays: Object.fromEntries(entries) });
  } catch (thrown) {
    return err(toStepError(thrown, STEP, path));
  }
}

/** Reads the file, then parses and validates it. */
export async function readRegions(path: string): Promise<Result<RegionPolicies, StepError>> {
  try {
    return decodeRegions(await readFile(path, 'utf8'), path);
  } catch (thrown) {
    return err(toStepError(thrown, STEP, path));
  }
}

/** Returns the policy of a region: the base policy with the overrides of the region. */
export function getSpillOverPolicy(
  { base, overlays }: RegionPolicies,
  region: string,
): SpillOverPolicy {
  return { ...base, ...overlays[region] };
}
