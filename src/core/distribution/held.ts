/** Recent bundles, kept as bases of differences. */
import type { Bundle } from '../../generated/types.js';

/** Bundles that differences can start from. */
const MAX_HELD = 16;
/** JSON text of all held bundles; parsed objects take several times as much memory. */
const MAX_HELD_BYTES = 4 * 1024 * 1024;

/** The bundles installed last, newest first. */
export interface HeldBundles {
  add(bundle: Bundle): void;
  findDigest(digest: string): Bundle | undefined;
  findVersion(version: number): Bundle | undefined;
}

/** Creates an empty list; the newest bundle is held whatever its size. */
export function createHeldBundles(): HeldBundles {
  let held: { readonly bundle: Bundle; readonly bytes: number }[] = [];
  return {
    add: (bundle) => {
      held.unshift({ bundle, bytes: Buffer.byteLength(JSON.stringify(bundle)) });
      let bytes = 0;
      held = held.slice(0, MAX_HELD).filter((entry, index) => {
        bytes += entry.bytes;
        return index === 0 || bytes <= MAX_HELD_BYTES;
      });
    },
    findDigest: (digest) => held.find((entry) => entry.bundle.digest === digest)?.bundle,
    findVersion: (version) => held.find((entry) => entry.bundle.version === version)?.bundle,
  };
}
