/** Determines from the head and the chain of bundles whether an operation was accepted. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { Head } from '../../generated/types.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { readBundle } from './readHead.js';

/** State of an operation relative to the accepted versions. */
export type OperationState =
  | { readonly kind: 'accepted'; readonly version: number }
  /** Another operation was accepted as its version, so this one cannot be accepted any more. */
  | { readonly kind: 'superseded'; readonly headVersion: number }
  /** The head is below its version, so its write may still take effect. */
  | { readonly kind: 'open'; readonly headVersion: number }
  /** The bundles needed to decide were removed. */
  | { readonly kind: 'untraceable'; readonly headVersion: number };

/**
 * Looks for an operation that was to become `version`: first in `recent` of the head, then along
 * the parents of the oldest bundle listed there.
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
