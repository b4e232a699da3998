/** Samples the versions and routes of all nodes during the soak. */
import { setMaxListeners } from 'node:events';
import type { Bundle, Head } from '../src/generated/types.js';
import { renderSite } from '../src/core/config/renderSite.js';
import { waitMs } from '../src/utils/backoff.js';
import { requestJson, type Mesh, type MeshHost } from '../standins/launcher.js';
import { explainRoute, readNode } from '../standins/observe.js';
import type { SoakChecker } from './checker.js';

/** Handle of the running watch. */
export interface NodeWatch {
  /** Number of version samples and route samples. */
  readonly counts: { versions: number; routes: number };
  stop(): Promise<void>;
}

const SAMPLE_INTERVAL_MS = 300;

/** Routes and services of a site in one configuration version. */
interface SiteContent {
  readonly routes: Readonly<Record<string, { service: string }>>;
  readonly services: Readonly<Record<string, unknown>>;
}

/** Creates a reader that fetches accepted versions from the platform and caches them. */
export function createVersionReader(mesh: Mesh) {
  const bundles = new Map<number, Bundle>();

  const readObject = <Value>(name: string) =>
    requestJson<Value>(`${mesh.platformUrl}/v1/objects/${name}`);

  /** Returns the bundle of a version, or undefined if the platform does not return it. */
  const readBundle = async (version: number): Promise<Bundle | undefined> => {
    const cached = bundles.get(version);
    if (cached !== undefined) return cached;
    try {
      const head = await readObject<Head>('config/head');
      const entry = head.recent.find((recent) => recent.version === version);
      if (entry === undefined) return undefined;
      const bundle = await readObject<Bundle>(`bundles/${entry.operationId}`);
      bundles.set(version, bundle);
      return bundle;
    } catch {
      return undefined;
    }
  };
  return {
    readBundle,
    readHeadVersion: async () => (await readObject<Head>('config/head')).version,
  };
}

function renderContent(bundle: Bundle, site: string): SiteContent {
  return renderSite(bundle, site) as unknown as SiteContent;
}

/** Starts one sampling loop for each host, so that the samples of a host are in order. */
export function startNodeWatch(mesh: Mesh, checker: SoakChecker): NodeWatch {
  const stopping = new AbortController();
  setMaxListeners(mesh.hosts.length, stopping.signal);
  const counts = { versions: 0, routes: 0 };
  const { readBundle } = createVersionReader(mesh);

  const checkRoutes = async (host: MeshHost, version: number): Promise<void> => {
    const bundle = await readBundle(version);
    if (bundle === undefined) return;
    const accepted = renderContent(bundle, host.dataCentre.name);
    for (const [route, { service }] of Object.entries(accepted.routes)) {
      const explained = await explainRoute(host, route);
      // The node did not answer or has another version by now, so the routes are not comparable.
      if (explained?.version !== version) return;
      counts.routes += 1;
      const isKnown = explained.service === service && Object.hasOwn(accepted.services, service);
      checker.recordRoute(host.nodeId, route, explained.service, isKnown);
    }
  };

  const watch = async (host: MeshHost): Promise<void> => {
    while (!stopping.signal.aborted) {
      const servedBefore = checker.getHostVersion(host.nodeId);
      const view = await readNode(host);
      if (view !== undefined) {
        counts.versions += 1;
        checker.recordVersion(view, servedBefore);
        if (view.version > 0) await checkRoutes(host, view.version);
      }
      await waitMs(SAMPLE_INTERVAL_MS, stopping.signal);
    }
  };
  const running = Promise.all(mesh.hosts.map(watch));
  return {
    counts,
    stop: async () => {
      stopping.abort();
      await running;
    },
  };
}
