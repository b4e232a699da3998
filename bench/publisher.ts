/** Accepts configuration versions in the platform and notes when the head write was answered. */
import type { Bundle, Head } from '../src/generated/types.js';
import { buildBundle, buildHead, NO_PARENT } from '../src/core/config/buildBundle.js';
import { formatBundleName, HEAD_NAME } from '../src/core/config/readHead.js';
import type { ConfigContent } from '../src/core/config/renderSite.js';
import { createHttpPlatform } from '../src/core/platform/httpPlatform.js';

/** An accepted version. */
export interface Accepted {
  readonly version: number;
  /** Wall clock at which the platform's answer to the head write had arrived. */
  readonly atMs: number;
}

/** Publishes successive versions, each of which changes the timeout of one route. */
export interface Publisher {
  publish(): Promise<Accepted>;
  close(): Promise<void>;
}

const FIRST_TIMEOUT_MS = 5000;

/** Creates a publisher that is the only writer of the platform's configuration. */
export function createPublisher(platformUrl: string, content: ConfigContent): Publisher {
  const platform = createHttpPlatform(platformUrl);
  const base = structuredClone(content.base) as {
    routes: Record<string, { timeoutMs: number }>;
  };
  const names = Object.keys(base.routes);
  let bundle: Bundle | undefined;
  let head: Head | undefined;
  let objectVersion = 0;

  const publish = async (): Promise<Accepted> => {
    const version = (bundle?.version ?? 0) + 1;
    const route = base.routes[names[version % names.length] as string];
    if (route) route.timeoutMs = FIRST_TIMEOUT_MS + version;
    const next = { base: structuredClone(base) as never, overlays: content.overlays };
    bundle = buildBundle(next, bundle ?? NO_PARENT);
    const created = await platform.create(formatBundleName(bundle.operationId), bundle);
    if (created.isErr()) throw created.error;
    const written = buildHead(bundle, head);
    const update =
      head === undefined
        ? await platform.create(HEAD_NAME, written)
        : await platform.update(HEAD_NAME, written, objectVersion);
    const atMs = Date.now();
    if (update.isErr()) throw update.error;
    head = written;
    objectVersion = update.value;
    return { version, atMs };
  };

  return { publish, close: () => platform.close() };
}
