/** History of the accepted versions, newest first. */
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { PlatformClient } from '../../types/interfaces.js';
import { readBundle, readHead } from './readHead.js';

/** One accepted version; time and author are as recorded by the client that applied it. */
export interface HistoryEntry {
  readonly version: number;
  readonly operationId: string;
  readonly digest: string;
  readonly acceptedAtMs?: number;
  readonly author?: string;
}

/** Follows the parents from the head, up to `limit` versions or the oldest retained one. */
export async function listHistory(
  platform: PlatformClient,
  limit: number,
): Promise<Result<HistoryEntry[], StepError>> {
  const head = await readHead(platform);
  if (head.isErr()) return err(head.error);
  const entries: HistoryEntry[] = [];
  let operationId = head.value?.value.operationId ?? '';
  while (operationId !== '' && entries.length < limit) {
    const bundle = await readBundle(platform, operationId);
    if (bundle.isErr()) return err(bundle.error);
    if (bundle.value === undefined) break;
    const { version, digest, acceptedAtMs, author, parent } = bundle.value;
    entries.push({ version, operationId, digest, acceptedAtMs, author });
    operationId = parent.operationId;
  }
  return ok(entries);
}
