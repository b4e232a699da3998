/** `config apply`: optimistic concurrency with a three-way merge before each attempt. */
import { isDeepStrictEqual } from 'node:util';
import { err, ok, type Result } from 'neverthrow';
import { acceptBundle, type AcceptOptions } from '../../core/config/acceptBundle.js';
import { buildBundle, type VersionReference } from '../../core/config/buildBundle.js';
import type { ConfigFault } from '../../core/config/configFault.js';
import { mergeThreeWay, type MergeConflict } from '../../core/config/mergeThreeWay.js';
import { pruneBundles, removeSupersededBundle } from '../../core/config/pruneBundles.js';
import {
  EMPTY_CONTENT,
  readAccepted,
  type AcceptedConfig,
} from '../../core/config/readAccepted.js';
import { readHead } from '../../core/config/readHead.js';
import type { ConfigContent } from '../../core/config/renderSite.js';
import { buildError, type StepError } from '../../errors.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import { checkContent, checkFiles, type FileFault } from './checkFiles.js';
import { readParent, writeParent, type ParentRecord } from './parentRecord.js';
import { updateFiles } from './updateFiles.js';
import { getContent, readWorkingFiles, type WorkingFiles } from './workingFiles.js';

/** Outcome of an apply. */
export type ApplyOutcome =
  | {
      readonly kind: 'accepted' | 'unchanged';
      readonly version: number;
      readonly operationId: string;
      /** Files that were updated to the merged content. */
      readonly updatedFiles: readonly string[];
      /** Failures that occurred after the outcome was decided. */
      readonly warnings: readonly string[];
    }
  | { readonly kind: 'faulty'; readonly faults: readonly FileFault[] }
  | { readonly kind: 'conflict'; readonly conflicts: readonly MergeConflict[] }
  /** Each edit is valid alone, but the merged content is not. */
  | { readonly kind: 'mergeFaulty'; readonly faults: readonly ConfigFault[] }
  | { readonly kind: 'unknown'; readonly operationId: string; readonly cause: StepError };

/** Options of an apply. */
export interface ApplyOptions extends AcceptOptions {
  readonly author?: string;
}

const STEP = 'config.apply';
/** At 680 changes a day, ten conflicts in a row indicate a script that applies in a loop. */
const MAX_APPLY_ATTEMPTS = 10;
const APPLY_BACKOFF = { baseMs: 50, maxMs: 1000 };

interface Edit {
  readonly working: WorkingFiles;
  readonly ours: ConfigContent;
  readonly parent: ParentRecord | undefined;
}

type AttemptOutcome = ApplyOutcome | { readonly kind: 'superseded' };

function getReference(accepted: AcceptedConfig): VersionReference {
  const { version = 0, digest = '', operationId = '' } = accepted.head?.value ?? {};
  return { version, digest, operationId };
}

/** Returns an error for a head that cannot descend from the recorded parent. */
function checkParent(parent: ParentRecord | undefined, head: VersionReference): StepError | null {
  if (!parent) {
    if (head.version === 0) return null;
    const message =
      `the directory has no parent record, but version ${head.version} is accepted; ` +
      'run `lycheelane config pull` in a new directory, or with --force in this one';
    return buildError('stale', STEP, 'platform', message);
  }
  const { version } = parent.reference;
  if (head.version > version || head.operationId === parent.reference.operationId) return null;
  const message =
    `the platform is at version ${head.version}, ` +
    `but the files are based on version ${version}`;
  return buildError('mismatch', STEP, 'platform', message);
}

async function finishApply(
  platform: PlatformClient,
  { working }: Edit,
  kind: 'accepted' | 'unchanged',
  reference: VersionReference,
  content: ConfigContent,
): Promise<ApplyOutcome> {
  const { version, operationId } = reference;
  const warnings: string[] = [];
  const updated = await updateFiles(working, content);
  // If the update fails, the old parent record is kept, so that the next apply merges again.
  const recorded = updated.isOk()
    ? await writeParent(working.dir, { reference, content })
    : updated.map(() => undefined);
  if (recorded.isErr()) warnings.push(`${recorded.error.peer}: ${recorded.error.message}`);
  if (kind === 'accepted') {
    const head = await readHead(platform);
    const current = head.unwrapOr(undefined)?.value;
    const pruned = current ? await pruneBundles(platform, current) : head;
    if (pruned.isErr()) warnings.push(`old bundles were not removed: ${pruned.error.message}`);
  }
  return { kind, version, operationId, updatedFiles: updated.unwrapOr([]), warnings };
}

async function runAttempt(
  platform: PlatformClient,
  edit: Edit,
  options: ApplyOptions,
): Promise<Result<AttemptOutcome, StepError>> {
  const accepted = await readAccepted(platform);
  if (accepted.isErr()) {
    // The head may have been replaced and its bundle removed between the two reads, so retry.
    return accepted.error.kind === 'not-found' ? ok({ kind: 'superseded' }) : err(accepted.error);
  }
  const reference = getReference(accepted.value);
  const refusal = checkParent(edit.parent, reference);
  if (refusal) return err(refusal);
  const parentContent = edit.parent?.content ?? EMPTY_CONTENT;
  const merged = mergeThreeWay(parentContent, edit.ours, accepted.value.content);
  if (merged.isErr()) return ok({ kind: 'conflict', conflicts: merged.error });
  const content = merged.value;
  if (reference.version > 0 && isDeepStrictEqual(content, accepted.value.content)) {
    return ok(await finishApply(platform, edit, 'unchanged', reference, content));
  }
  const faults = checkContent(content);
  if (faults.length > 0) return ok({ kind: 'mergeFaulty', faults });
  const bundle = buildBundle(content, reference, options.author);
  const outcome = await acceptBundle(platform, bundle, accepted.value.head, options);
  if (outcome.isErr()) return err(outcome.error);
  if (outcome.value.kind === 'accepted') {
    return ok(await finishApply(platform, edit, 'accepted', bundle, content));
  }
  if (outcome.value.kind === 'superseded') {
    await removeSupersededBundle(platform, bundle.operationId);
  }
  return ok(outcome.value);
}

/** Applies the files of a directory. An error means that nothing was accepted. */
export async function applyConfig(
  platform: PlatformClient,
  dir: string,
  options: ApplyOptions = {},
): Promise<Result<ApplyOutcome, StepError>> {
  const working = await readWorkingFiles(dir);
  if (working.isErr()) return err(working.error);
  const faults = checkFiles(working.value);
  if (faults.length > 0) return ok({ kind: 'faulty', faults });
  const parent = await readParent(dir);
  if (parent.isErr()) return err(parent.error);
  const edit = { working: working.value, ours: getContent(working.value), parent: parent.value };
  for (let attemptIndex = 0; attemptIndex < MAX_APPLY_ATTEMPTS; attemptIndex += 1) {
    const attempt = await runAttempt(platform, edit, options);
    if (attempt.isErr()) return err(attempt.error);
    if (attempt.value.kind !== 'superseded') return ok(attempt.value);
    await (options.wait ?? waitMs)(computeDelayMs(APPLY_BACKOFF, attemptIndex));
  }
  const message = `concurrent edits superseded this one ${MAX_APPLY_ATTEMPTS} times in a row`;
  return err(buildError('busy', STEP, 'platform', message));
}
