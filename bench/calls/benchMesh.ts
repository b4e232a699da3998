/** Meshes of the call measurements: one data centre, an entry service and a work service. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { applyFolder } from '../../standins/configFolder.js';
import { startMesh, type Mesh, type MeshHost } from '../../standins/launcher.js';
import { waitForInstances } from '../../standins/observe.js';
import type { LoadStream } from './loadPlan.js';

/** Size of a mesh. */
export interface BenchMeshOptions {
  readonly seed: number;
  readonly instances: number;
  readonly slots: number;
  /** Fixed work time of each request in milliseconds. */
  readonly workMs: number;
  readonly queueLimit: number;
}

/** A running mesh with the entry host apart from the hosts that run the calls. */
export interface BenchMesh {
  readonly mesh: Mesh;
  readonly entry: MeshHost;
  readonly workers: readonly MeshHost[];
}

/** HTTP authority of the routes. */
const AUTHORITY = 'bench.example';
const PRIORITIES = ['critical', 'normal', 'sheddable'] as const;
const TIMEOUT_MS = 10_000;
const READY_LIMIT_MS = 20_000;

function buildService(slots: number, queueLimit: number) {
  const outlier = { consecutiveFailures: 5, ejectMs: 2000, maxEjectedPercent: 34 };
  return { slots, maxConnections: 500, queueLimit, coldStartMs: 0, drainMs: 10_000, outlier };
}

function buildRoute(path: string, service: string, priority: string) {
  return {
    match: { authority: AUTHORITY, pathPrefix: path },
    service,
    repeatability: 'repeatable',
    priority,
    timeoutMs: TIMEOUT_MS,
    retry: { maxAttempts: 3, budgetPercent: 20 },
    spillOver: true,
  };
}

async function writeConfig(mesh: Mesh, options: BenchMeshOptions): Promise<string> {
  const folder = join(mesh.folder, 'config');
  await mkdir(join(folder, 'overlays'), { recursive: true });
  const routes = PRIORITIES.map((name) => [name, buildRoute(`/${name}`, 'work', name)] as const);
  const base = {
    services: {
      work: buildService(options.slots, options.queueLimit),
      entry: buildService(1, 0),
    },
    routes: { ...Object.fromEntries(routes), entry: buildRoute('/entry', 'entry', 'normal') },
  };
  await writeFile(join(folder, 'base.jsonc'), JSON.stringify(base));
  await writeFile(join(folder, 'overlays', 'bench-a.jsonc'), '{}');
  return folder;
}

/** Starts a mesh, applies its configuration and waits until every instance is known. */
export async function startBenchMesh(options: BenchMeshOptions): Promise<BenchMesh> {
  const { instances, slots } = options;
  const services = [
    { service: 'entry', instances: 1, slots: 1, workMs: 0 },
    { service: 'work', instances, slots, workMs: 0 },
  ];
  const dataCentres = [{ name: 'bench-a', region: 'bench', services }];
  const mesh = await startMesh({ seed: options.seed, dataCentres });
  try {
    await applyFolder(mesh, await writeConfig(mesh, options));
    await mesh.waitReady();
    await waitForInstances(mesh, 'normal', READY_LIMIT_MS);
    const [entry, ...workers] = mesh.hosts as [MeshHost, ...MeshHost[]];
    for (const { instanceId } of workers) {
      // The work time drawn by the stand-in varies; the added latency is always the same.
      await mesh.setBehaviour(instanceId, { latencyMs: options.workMs });
    }
    return { mesh, entry, workers };
  } catch (thrown) {
    await mesh.stop();
    throw thrown;
  }
}

/** Runs a measurement on a mesh and stops the mesh. */
export async function runWithMesh<Value>(
  options: BenchMeshOptions,
  run: (bench: BenchMesh) => Promise<Value>,
): Promise<Value> {
  const bench = await startBenchMesh(options);
  try {
    return await run(bench);
  } finally {
    await bench.mesh.stop();
  }
}

/** Builds a stream of calls of a priority to the given addresses. */
export function buildStream(
  name: string,
  urls: readonly string[],
  priority: (typeof PRIORITIES)[number] = 'normal',
  weight = 1,
  deadlineMs = TIMEOUT_MS,
): LoadStream {
  return { name, weight, urls, path: `/${priority}`, headers: { host: AUTHORITY }, deadlineMs };
}
