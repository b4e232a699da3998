/** Guards against uploads that, each within the limits, take a process over its memory together. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { buildConfiguration, type FleetRoute } from '../../standins/mesh/configuration.js';
import { sendHttp } from '../../standins/mesh/meshFleet.js';
import { readDeployFlags, startNodeProcess } from '../../standins/mesh/nodeProcess.js';
import {
  announceInstance,
  MEMORY_LIMIT_MB,
  readPeakMb,
  waitUntilReady,
  withSetup,
} from '../mesh/nodeProcessParts.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;
const UPLOAD_BYTES = 60 * 1024 * 1024;
const UPLOADS = 3;

const ROUTES: readonly FleetRoute[] = [{ prefix: '/', kind: 'unsafe', timeoutMs: 20_000 }];

test('uploads at the same time leave a process within its memory, and one is served', async () => {
  await withSetup(async ({ options, store, instance }) => {
    store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(2, ROUTES, MAX_BODY_BYTES));
    const [calls = 0, , ready = 0, announcements = 0] = options.ports;
    const node = startNodeProcess(options, await readDeployFlags());
    try {
      await waitUntilReady(ready);
      await announceInstance(announcements, options.instancePort, 4);
      const body = 'x'.repeat(UPLOAD_BYTES);
      const upload = (_: unknown, index: number) =>
        sendHttp(calls, { path: '/', id: `u-${index}`, method: 'POST', body, deadlineMs: 20_000 });
      const responses = await Promise.all(Array.from({ length: UPLOADS }, upload));
      const peakMb = await readPeakMb(node.process.pid!);
      const statuses = responses.map(({ status }) => status).sort();
      assert.equal(statuses[0], 200);
      assert.ok(
        statuses.every((status) => status === 200 || status === 503),
        statuses.join(),
      );
      const served = statuses.filter((status) => status === 200).length;
      assert.equal(instance.runs.length, served, 'what is refused has not run');
      assert.ok(peakMb <= MEMORY_LIMIT_MB, `${Math.round(peakMb)} MB`);
    } finally {
      node.process.kill('SIGKILL');
      await node.exited;
    }
  }, ROUTES);
});
