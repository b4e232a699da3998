import assert from 'node:assert/strict';
import { test } from 'node:test';
import { request } from 'undici';
import type { NodesAnswer } from '../../src/generated/types.js';
import { requestJson } from '../../standins/launcher.js';
import {
  AUTHORITY,
  CALLS,
  THREE_HOSTS,
  buildConfig,
  readView,
  startFaultMesh,
  waitFor,
  waitForVersion,
} from './support.js';

async function readMetrics({ operatorUrl }: { readonly operatorUrl: string }): Promise<string> {
  return (await request(`${operatorUrl}/metrics`)).body.text();
}

/** A route that is fine by itself. */
const GOOD_ROUTE = {
  service: 'padbook',
  match: { pathPrefix: '/waitlist' },
  repeatability: 'repeatable',
};
const WAITLIST = { authority: AUTHORITY, method: 'GET', path: '/waitlist' } as const;

// Guards G3 and G2: the good part of a version that does not compile coming into force, a node that
// stops serving because of it, and a refusal that operators cannot see.
test('bad version: kept out whole, reported, and replaced by the next good one', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const [entry] = mesh.hosts;
  assert.ok(entry);
  const missing = { ...GOOD_ROUTE, match: { pathPrefix: '/missing' }, service: 'nowhere' };
  const bad = await mesh.accept(buildConfig(8000, { waitlist: GOOD_ROUTE, missing }));
  for (const [index, host] of mesh.hosts.entries()) {
    // Two of the three are relays; the third learns of the version from their records.
    const { nodes } = await waitFor('the refusals of all nodes', async () => {
      const report = await requestJson<NodesAnswer>(`${host.operatorUrl}/v1/nodes?scope=all`);
      return report.nodes.every((node) => node.refusal?.version === bad) && report;
    });
    assert.equal(nodes.length, 3);
    for (const node of nodes) {
      assert.equal(node.version, 1);
      assert.match(node.refusal?.reason ?? '', /nowhere/);
      assert.equal(node.refusal?.step, 'config.compile');
    }
    assert.match(
      await readMetrics(host),
      new RegExp(`^lycheelane_config_refused_version ${bad}$`, 'm'),
    );
    const served = await mesh.send(host, CALLS.browse, `served-${index}`);
    assert.deepEqual(served, { kind: 'answered', status: 200, check: 'whole', version: 1 });
    const partly = await mesh.send(host, WAITLIST, `partly-${index}`);
    assert.deepEqual(partly, { kind: 'notRun', status: 404, reason: 'no-route' });
  }
  await waitForVersion(mesh.hosts, await mesh.accept(buildConfig(8000, { waitlist: GOOD_ROUTE })));
  assert.equal((await mesh.send(entry, WAITLIST, 'good')).kind, 'answered');
  assert.equal((await readView(entry)).version, bad + 1);
  assert.match(await readMetrics(entry), /^lycheelane_config_refused_version 0$/m);
});

// Guards G2 and G5: a route whose service has no instance, at first or since its last one stopped.
test('bad version: a route to a service without an instance answers "not run"', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const empty = { ...GOOD_ROUTE, service: 'skyguide' };
  await waitForVersion(mesh.hosts, await mesh.accept(buildConfig(8000, { empty })));
  const none = { kind: 'notRun', status: 503, reason: 'no-instance' };
  for (const [index, host] of mesh.hosts.entries()) {
    assert.deepEqual(await mesh.send(host, WAITLIST, `empty-${index}`), none);
  }
  await Promise.all(mesh.hosts.map((host) => mesh.terminate(host.instanceId)));
  for (const [index, host] of mesh.hosts.entries()) {
    const sent = await waitFor('the end of the last instance', async () => {
      const result = await mesh.send(host, CALLS.booking, `stopped-${index}`);
      assert.equal(result.kind, 'notRun', JSON.stringify(result));
      return result.kind === 'notRun' && result.reason === 'no-instance' && result;
    });
    assert.deepEqual(sent, none);
  }
  assert.deepEqual(mesh.listRuns(), []);
});
