/** Finds out whether an operation was accepted, from the head and the chain of bundles. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { Head } from '../../generated/types.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { readBundle } from './readHead.js';

/** What the accepted versions say about an operation. */
export type OperationState =
  | { readonly kind: 'accepted'; readonly version: number }
  /** Another operation holds its version, so it was not and cannot be accepted. */
  | { readonly kind: 'superseded'; readonly headVersion: number }
  /** The head is still below its version, so its write may still take effect. */
  | { readonly kind: 'open'; readonly headVersion: number }
  /** The part of the chain that would tell is no longer kept. */
  | { readonly kind: 'untraceable'; readonly headVersion: number };

/**
 * Looks for an operation that would have made `version`: in `recent`, and beyond that along the
 * parents of the oldest bundle named there.
 */
export async function findOperation(
  platform: PlatformClient,
  head: Head | undefined,
  operationId: string,
  version: number,
): Promise<Result<OperationState, StepError>> {
  const headVersion = head?.version ?? 0;
  const entry = head?.recent.find((candidate) => candidate.operationId === operationId);
  if (entry) return ok({ kind: 'accepted', version: entry.version });
  if (head === undefined || headVersion < version) return ok({ kind: 'open', headVersion });
  if (head.recent.some((candidate) => candidate.version === version)) {
    return ok({ kind: 'superseded', headVersion });
  }
  let current = head.recent.at(-1)?.operationId ?? head.operationId;
  for (;;) {
    const bundle = await readBundle(platform, current);
    if (bundle.isErr()) return err(bundle.error);
    if (bundle.value === undefined) return ok({ kind: 'untraceable', headVersion });
    const { parent } = bundle.value;
    if (parent.operationId === operationId) return ok({ kind: 'accepted', version });
    if (parent.version <= version) return ok({ kind: 'superseded', headVersion });
    current = parent.operationId;
  }
}
