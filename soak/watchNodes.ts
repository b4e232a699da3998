/** Watches versions and routes of all nodes during the soak run. */
import { setMaxListeners } from 'node:events';
import type { Bundle, Head } from '../src/generated/types.js';
import { renderSite } from '../src/core/config/renderSite.js';
import { waitMs } from '../src/utils/backoff.js';
import { requestJson, type Mesh, type MeshHost } from '../standins/launcher.js';
import { explainRoute, readNode } from '../standins/observe.js';
import type { SoakChecker } from './checker.js';

/** A running watch. */
export interface NodeWatch {
  /** Samples of versions and of routes so far. */
  readonly counts: { versions: number; routes: number };
  stop(): Promise<void>;
}

const INTERVAL_MS = 300;

/** Routes and services of a site in a version. */
interface SiteContent {
  readonly routes: Readonly<Record<string, { service: string }>>;
  readonly services: Readonly<Record<string, unknown>>;
}

/** Reads accepted versions from the platform, each once. */
export function createVersionReader(mesh: Mesh) {
  const known = new Map<number, Bundle>();

  const readObject = <Value>(name: string) =>
    requestJson<Value>(`${mesh.platformUrl}/v1/objects/${name}`);

  /** Returns a bundle; undefined while the platform does not give it. */
  const readBundle = async (version: number): Promise<Bundle | undefined> => {
    const found = known.get(version);
    if (found !== undefined) return found;
    try {
      const head = await readObject<Head>('config/head');
      const entry = head.recent.find((recent) => recent.version === version);
      if (entry === undefined) return undefined;
      const bundle = await readObject<Bundle>(`bundles/${entry.operationId}`);
      known.set(version, bundle);
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

/** Starts to watch; one loop for each host, so that its samples are in order. */
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
      // Another version by now, or no answer: nothing to compare with.
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
      await waitMs(INTERVAL_MS, stopping.signal);
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
