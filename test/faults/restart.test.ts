import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEAD_NAME, readHead } from '../../src/core/config/readHead.js';
import { createHttpPlatform } from '../../src/core/platform/httpPlatform.js';
import { requestStatus } from '../../standins/launcher/control.js';
import {
  CALLS,
  THREE_HOSTS,
  buildConfig,
  buildSites,
  readView,
  startFaultMesh,
  waitFor,
  waitForVersion,
} from './support.js';

// Guards G1 and G9: a restarted node that cannot come back while the platform is down, or that
// serves an older version than its host did.
test('restart: with the platform down the floor and the version come from peers', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const restarted = mesh.getHost(0);
  await waitForVersion(mesh.hosts, await mesh.accept(buildConfig(8000)));
  await mesh.setPlatformFaults({ down: true });
  await mesh.kill(restarted.nodeId);
  await mesh.start(restarted.nodeId);
  await waitForVersion([restarted], 2);
  const result = await mesh.send(restarted, CALLS.browse, 'after');
  assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 2 });
});

// Guards G1: a restarted node that takes the version of stale peers for good although its own host
// enforced a newer one, which only the cookie of the local upstream still tells.
test('restart: a node with only stale peers waits for the version of its host', async (t) => {
  const mesh = await startFaultMesh(t, buildSites(2));
  const [restarted, stale] = [mesh.getHost(0), mesh.getHost(1)];
  mesh.freeze(stale.nodeId);
  await waitForVersion([restarted], await mesh.accept(buildConfig(8000)));
  // The answer to an announcement after the installation carries the cookie of version 2.
  const countAnnouncements = async () =>
    (await mesh.readUpstreamStats(restarted.instanceId)).announcements?.answered ?? 0;
  const before = await countAnnouncements();
  await waitFor('two announcements', async () => (await countAnnouncements()) >= before + 2);
  await mesh.setPlatformFaults({ down: true });
  await mesh.kill(restarted.nodeId);
  mesh.thaw(stale.nodeId);
  await mesh.start(restarted.nodeId);
  await waitFor('the floor of the host', async () => {
    const { floor, members } = await readView(restarted);
    return floor?.version === 2 && members.alive === 2;
  });
  const view = await readView(restarted);
  assert.equal(view.ready, false, JSON.stringify(view));
  assert.ok(view.version <= 1);
  assert.equal(await requestStatus(`${restarted.operatorUrl}/healthz`), 503);
  const refused = await mesh.send(restarted, CALLS.browse, 'stale');
  assert.equal(refused.kind, 'notRun', JSON.stringify(refused));
  assert.equal(mesh.countRuns('stale'), 0);
  await mesh.setPlatformFaults({ down: false });
  await waitForVersion(mesh.hosts, 2);
});

// Guards G1: a head that names an older version, as after a wrong repair of the platform's store.
test('restart: a head with a lower version moves no node back', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  await waitForVersion(mesh.hosts, await mesh.accept(buildConfig(8000)));
  const platform = createHttpPlatform(mesh.platformUrl);
  t.after(() => platform.close());
  const head = (await readHead(platform))._unsafeUnwrap();
  assert.ok(head);
  const [, older] = head.value.recent;
  const lowered = { ...older, recent: [older] };
  (await platform.update(HEAD_NAME, lowered, head.version))._unsafeUnwrap();
  // A node that reads the lowered head at its start must come back at the version of its peers.
  await mesh.kill(mesh.getHost(0).nodeId);
  await mesh.start(mesh.getHost(0).nodeId);
  await waitForVersion(mesh.hosts, 2);
  for (const { nodeId } of mesh.hosts.slice(1)) {
    const lines = mesh.getProcess(nodeId).getLog().join('\n');
    const installed = [...lines.matchAll(/config-installed .*?version=(\d+)/g)];
    assert.deepEqual(
      installed.map(([, version]) => version),
      ['1', '2'],
      lines,
    );
  }
  assert.equal((await readHead(platform))._unsafeUnwrap()?.value.version, 1);
});
