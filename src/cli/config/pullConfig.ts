/** `config pull`: merges the accepted version into the working files and keeps local edits. */
import { err, ok, type Result } from 'neverthrow';
import { mergeThreeWay, type MergeConflict } from '../../core/config/mergeThreeWay.js';
import { readAccepted } from '../../core/config/readAccepted.js';
import type { ConfigContent } from '../../core/config/renderSite.js';
import { buildError, type StepError } from '../../errors.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { readParent, writeParent, type ParentRecord } from './parentRecord.js';
import { updateFiles } from './updateFiles.js';
import { findWorkingFiles, getContent, type WorkingFiles } from './workingFiles.js';

/** Outcome of a pull. */
export type PullOutcome =
  | { readonly kind: 'pulled'; readonly version: number; readonly updatedFiles: readonly string[] }
  | { readonly kind: 'conflict'; readonly conflicts: readonly MergeConflict[] };

const STEP = 'config.pull';

function mergeLocal(
  working: WorkingFiles,
  parent: ParentRecord | undefined,
  theirs: ConfigContent,
): Result<ConfigContent, StepError | readonly MergeConflict[]> {
  if (working.files.length === 0) return ok(theirs);
  if (!parent) {
    const message = 'the directory has no parent record; replace its files with --force';
    return err(buildError('refused', STEP, working.dir, message));
  }
  const faulty = working.files.find(({ faults }) => faults.length > 0);
  if (faulty) {
    const message = 'the file has syntax faults; correct them, or replace the files with --force';
    return err(buildError('invalid', STEP, faulty.file, message));
  }
  return mergeThreeWay(parent.content, getContent(working), theirs);
}

/** Pulls the accepted version; `force` discards local edits and ignores the parent record. */
export async function pullConfig(
  platform: PlatformClient,
  dir: string,
  force: boolean,
): Promise<Result<PullOutcome, StepError>> {
  const found = await findWorkingFiles(dir);
  if (found.isErr()) return err(found.error);
  const working = found.value ?? { dir, files: [] };
  const parent = force ? ok(undefined) : await readParent(dir);
  if (parent.isErr()) return err(parent.error);
  const accepted = await readAccepted(platform);
  if (accepted.isErr()) return err(accepted.error);
  const { head, content: theirs } = accepted.value;
  if (!head) {
    return err(buildError('not-found', STEP, 'platform', 'no version is accepted yet'));
  }
  const merged = force ? ok(theirs) : mergeLocal(working, parent.value, theirs);
  if (merged.isErr()) {
    return merged.error instanceof Error
      ? err(merged.error)
      : ok({ kind: 'conflict', conflicts: merged.error });
  }
  const updated = await updateFiles(working, merged.value);
  if (updated.isErr()) return err(updated.error);
  const { version, digest, operationId } = head.value;
  const record = { reference: { version, digest, operationId }, content: theirs };
  const recorded = await writeParent(dir, record);
  return recorded.map(() => ({ kind: 'pulled', version, updatedFiles: updated.value }));
}
