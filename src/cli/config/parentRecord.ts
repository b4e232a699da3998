/** `.lycheelane/parent.json`: the version that the working files were edited from. */
import { mkdir, readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { VersionReference } from '../../core/config/buildBundle.js';
import { isJsonObject } from '../../core/config/diffContent.js';
import type { ConfigContent } from '../../core/config/renderSite.js';
import { hasDigest } from '../../utils/digest.js';
import { replaceFile } from './replaceFile.js';

/** The parent version with its content, since its bundle may be removed before a merge. */
export interface ParentRecord {
  readonly reference: VersionReference;
  readonly content: ConfigContent;
}

const STEP = 'config.parent';

function formatRecordPath(dir: string): string {
  return join(dir, '.lycheelane', 'parent.json');
}

function parseRecord(text: string, file: string): Result<ParentRecord, StepError> {
  const value = JSON.parse(text) as Record<string, unknown>;
  const { version, digest, operationId, base, overlays } = value;
  const content = { base, overlays } as ConfigContent;
  const isValid =
    typeof version === 'number' &&
    typeof digest === 'string' &&
    typeof operationId === 'string' &&
    isJsonObject(base) &&
    isJsonObject(overlays) &&
    hasDigest(content, digest);
  if (!isValid) {
    const message =
      'the parent record is invalid; run `lycheelane config pull --force` to replace it';
    return err(buildError('invalid', STEP, file, message));
  }
  return ok({ reference: { version, digest, operationId }, content });
}

/** Reads the parent record of a directory; undefined when there is none. */
export async function readParent(
  dir: string,
): Promise<Result<ParentRecord | undefined, StepError>> {
  const file = formatRecordPath(dir);
  try {
    return parseRecord(await readFile(file, 'utf8'), file);
  } catch (thrown) {
    if ((thrown as NodeJS.ErrnoException).code === 'ENOENT') return ok(undefined);
    return err(toStepError(thrown, STEP, file));
  }
}

/** Replaces the parent record of a directory. */
export async function writeParent(
  dir: string,
  { reference, content }: ParentRecord,
): Promise<Result<void, StepError>> {
  const file = formatRecordPath(dir);
  const { version, digest, operationId } = reference;
  const { base, overlays } = content;
  try {
    await mkdir(dirname(file), { recursive: true });
    const text = JSON.stringify({ version, digest, operationId, base, overlays });
    await replaceFile(file, `${text}\n`);
    return ok(undefined);
  } catch (thrown) {
    return err(toStepError(thrown, STEP, file));
  }
}
