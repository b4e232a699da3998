/** The state of an operation, from what the platform keeps about it. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { findOperation, type OperationState } from './findOperation.js';
import { readBundle, readHead } from './readHead.js';

/** Finds out whether an operation was accepted, from its id alone. */
export async function readOperation(
  platform: PlatformClient,
  operationId: string,
): Promise<Result<OperationState, StepError>> {
  // The bundle is read first: a head read before it could miss a version accepted in between.
  const bundle = await readBundle(platform, operationId);
  if (bundle.isErr()) return err(bundle.error);
  const head = await readHead(platform);
  if (head.isErr()) return err(head.error);
  const current = head.value?.value;
  if (bundle.value) return findOperation(platform, current, operationId, bundle.value.version);
  const entry = current?.recent.find((candidate) => candidate.operationId === operationId);
  if (entry) return ok({ kind: 'accepted', version: entry.version });
  return ok({ kind: 'untraceable', headVersion: current?.version ?? 0 });
}
