/** Recently installed bundles, kept as base versions of deltas. */
import type { Bundle } from '../../generated/types.js';

/** Maximum number of kept bundles. */
const MAX_BUNDLES = 16;
/** Maximum total size as JSON text; the parsed objects use several times as much memory. */
const MAX_TOTAL_BYTES = 4 * 1024 * 1024;

/** The most recently installed bundles, newest first. */
export interface RecentBundles {
  add(bundle: Bundle): void;
  findDigest(digest: string): Bundle | undefined;
  findVersion(version: number): Bundle | undefined;
}

/** Creates an empty list; the newest bundle is kept regardless of its size. */
export function createRecentBundles(): RecentBundles {
  let entries: { readonly bundle: Bundle; readonly bytes: number }[] = [];
  return {
    add: (bundle) => {
      entries.unshift({ bundle, bytes: Buffer.byteLength(JSON.stringify(bundle)) });
      let bytes = 0;
      entries = entries.slice(0, MAX_BUNDLES).filter((entry, index) => {
        bytes += entry.bytes;
        return index === 0 || bytes <= MAX_TOTAL_BYTES;
      });
    },
    findDigest: (digest) => entries.find((entry) => entry.bundle.digest === digest)?.bundle,
    findVersion: (version) => entries.find((entry) => entry.bundle.version === version)?.bundle,
  };
}
