/** Steps that tests of a real node process share. */
import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { findFreePorts } from '../../standins/launcher/ports.js';
import { buildConfiguration, type FleetRoute } from '../../standins/mesh/configuration.js';
import { InstanceServer } from '../../standins/mesh/instanceServer.js';
import { sendHttp, wait } from '../../standins/mesh/meshFleet.js';
import { writeSettings, type NodeProcessOptions } from '../../standins/mesh/nodeProcess.js';
import { StoreServer } from '../../standins/mesh/storeServer.js';

const HOST = '127.0.0.1';
/** Memory of the smallest host on the users' pages, in MB. */
export const MEMORY_LIMIT_MB = 250;

const POLL_INTERVAL_MS = 30;
const MAX_POLLS = 500;

/** A node process that is not started yet, its store and its instance. */
export interface ProcessSetup {
  readonly options: NodeProcessOptions;
  readonly store: StoreServer;
  readonly instance: InstanceServer;
}

/** Runs a function with the settings of a node, its store with these routes, and its instance. */
export async function withSetup(
  run: (setup: ProcessSetup) => Promise<void>,
  routes: readonly FleetRoute[] = [{ prefix: '/read/' }],
): Promise<void> {
  const store = new StoreServer();
  const instance = new InstanceServer('i-1');
  const options: NodeProcessOptions = {
    folder: await mkdtemp(join(tmpdir(), 'lycheelane-')),
    name: 'sidecar-a-1',
    dataCentre: 'a',
    service: 'pads',
    storePort: await store.listen(),
    instancePort: await instance.listen(),
    ports: await findFreePorts(HOST, 4),
  };
  await writeSettings(options);
  store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(1, routes));
  try {
    await run({ options, store, instance });
  } finally {
    await instance.close();
    await store.close();
    await rm(options.folder, { recursive: true });
  }
}

/** Waits until the readiness check of a node passes. */
export async function waitUntilReady(readyPort: number): Promise<void> {
  for (let tries = 0; tries < MAX_POLLS; tries += 1) {
    const response = await sendHttp(readyPort, { path: '/readyz', id: '' }).catch(() => undefined);
    if (response?.status === 200) return;
    await wait(POLL_INTERVAL_MS);
  }
  throw new Error('the node was not ready within 15 s');
}

/** Returns the largest memory that a process has used, in MB. */
export async function readPeakMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / 1024;
}

/** Announces the instance `i-1` of the service `pads` to the node of its host. */
export async function announceInstance(
  announcementPort: number,
  instancePort: number,
  slots: number,
): Promise<void> {
  const body = JSON.stringify({
    Service: 'pads',
    Address: `${HOST}:${instancePort}`,
    Capacity: slots,
    State: 'ready',
    Sequence: 1,
    born: 1,
  });
  const request = { path: '/instances/i-1/heartbeat', id: '', method: 'POST', body };
  const { status } = await sendHttp(announcementPort, request);
  assert.equal(status, 200);
}
