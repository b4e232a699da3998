/** The operators' own settings: what differs between regions, as JSON with comments. */
import { readFile } from 'node:fs/promises';
import { parse, type ParseError } from 'jsonc-parser';
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../errors.js';
import type { DistancePolicy } from './placing.js';

const STEP = 'regions.read';

/** Policies by region, with the one of all others. */
export interface Regions {
  readonly base: DistancePolicy;
  readonly overlays: Readonly<Record<string, Partial<DistancePolicy>>>;
}

const KEYS: readonly string[] = ['waitShare', 'spillRank'];

function checkPolicy(value: unknown, path: string): Partial<DistancePolicy> {
  if (typeof value !== 'object' || value === null) throw new Error(`${path} must be an object`);
  for (const [key, entry] of Object.entries(value)) {
    if (!KEYS.includes(key)) {
      throw new Error(`${path}.${key} is unknown; known: ${KEYS.join(', ')}`);
    }
    if (typeof entry !== 'number' || !(entry >= 0)) {
      throw new Error(`${path}.${key} must be a number from 0, found ${JSON.stringify(entry)}`);
    }
  }
  return value;
}

/** Decodes the text of the file. */
export function decodeRegions(text: string, path: string): Result<Regions, StepError> {
  const faults: ParseError[] = [];
  const value = parse(text, faults, { allowTrailingComma: true }) as Record<string, unknown>;
  if (faults[0]) {
    return err(buildError('invalid', STEP, path, `syntax error at offset ${faults[0].offset}`));
  }
  try {
    const { base, overlays = {} } = value;
    const checked = checkPolicy(base, 'base');
    for (const key of KEYS) {
      if (!(key in checked)) throw new Error(`base.${key} is missing`);
    }
    const entries = Object.entries(overlays as object).map(
      ([region, policy]) => [region, checkPolicy(policy, `overlays.${region}`)] as const,
    );
    return ok({ base: checked as DistancePolicy, overlays: Object.fromEntries(entries) });
  } catch (thrown) {
    return err(toStepError(thrown, STEP, path));
  }
}

/** Reads the file. */
export async function readRegions(path: string): Promise<Result<Regions, StepError>> {
  try {
    return decodeRegions(await readFile(path, 'utf8'), path);
  } catch (thrown) {
    return err(toStepError(thrown, STEP, path));
  }
}

/** Returns the policy of a region: the base with what its overlay states. */
export function getDistancePolicy({ base, overlays }: Regions, region: string): DistancePolicy {
  return { ...base, ...overlays[region] };
}
