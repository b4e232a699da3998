/** Construction of bundles and of the head that refers to the accepted one. */
import { randomUUID } from 'node:crypto';
import type { Bundle, Head } from '../../generated/types.js';
import { brandText, type OperationId } from '../../types/ids.js';
import { computeDigest } from '../../utils/digest.js';
import type { ConfigContent } from './renderSite.js';

/** Reference to an accepted version; version 0 with empty strings when there is none. */
export type VersionReference = Bundle['parent'];

/** The parent of the first version. */
export const NO_PARENT: VersionReference = { version: 0, digest: '', operationId: '' };

/** Maximum length of the author of a bundle, in characters. */
export const MAX_AUTHOR_LENGTH = 256;

/** Number of accepted versions that the head lists in `recent`. */
const MAX_RECENT_ENTRIES = 128;

/** Builds the bundle of the version after `parent`, with a new operation id. */
export function buildBundle(
  content: ConfigContent,
  parent: VersionReference,
  author?: string,
): Bundle {
  const { base, overlays } = content;
  return {
    version: parent.version + 1,
    operationId: brandText<OperationId>(randomUUID()),
    parent: {
      version: parent.version,
      digest: parent.digest,
      operationId: parent.operationId,
    },
    base,
    overlays,
    digest: computeDigest({ base, overlays }),
    acceptedAtMs: Date.now(),
    ...(author ? { author } : {}),
  };
}

/** Builds the head that refers to `bundle`; `recent` lists the newest version first. */
export function buildHead(bundle: Bundle, previous: Head | undefined): Head {
  const { version, operationId, digest } = bundle;
  const recent = [{ version, operationId, digest }, ...(previous?.recent ?? [])];
  return { version, digest, operationId, recent: recent.slice(0, MAX_RECENT_ENTRIES) };
}
