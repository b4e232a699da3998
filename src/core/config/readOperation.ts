/** Lookup of the state of an operation in the platform. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { findOperation, type OperationState } from './findOperation.js';
import { readBundle, readHead } from './readHead.js';

/** Determines from an operation id whether the operation was accepted. */
export async function readOperation(
  platform: PlatformClient,
  operationId: string,
): Promise<Result<OperationState, StepError>> {
  // The head is read last, so that it includes a version accepted while the bundle was read.
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
