/** Runs a node as a process: settings file, signals, exit codes and log lines. */
import assert from 'node:assert/strict';
import { writeFile } from 'node:fs/promises';
import { Agent } from 'node:http';
import { test } from 'node:test';
import { NODE_KIND } from '../../src/mesh/nodeRecord.js';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { buildConfiguration } from '../../standins/mesh/configuration.js';
import { formatNested, RawJson } from '../../standins/mesh/oddValues.js';
import { sendHttp, wait, type FleetResponse } from '../../standins/mesh/meshFleet.js';
import {
  buildSettings,
  getSettingsPaths,
  startNodeProcess,
  type NodeProcess,
  type NodeProcessOptions,
} from '../../standins/mesh/nodeProcess.js';
import { StoreServer } from '../../standins/mesh/storeServer.js';
import { withSetup } from '../mesh/nodeProcessParts.js';

async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 300; tries += 1) {
    if (await check()) return;
    await wait(30);
  }
  throw new Error('the condition was not met within 9 s');
}

function sendGet(port: number, path: string): Promise<FleetResponse | undefined> {
  return sendHttp(port, { path, id: 'q-1' }).catch(() => undefined);
}

test('a process serves, reloads its settings and stops on SIGTERM', async () => {
  await withSetup(async ({ options, instance }) => {
    const [calls = 0, , ready = 0, control = 0] = options.ports;
    const settings = buildSettings(options);
    const { boot } = getSettingsPaths(options);
    const started = startNodeProcess(options);
    await waitUntil(async () => (await sendGet(ready, '/readyz'))?.status === 200);
    const body = JSON.stringify({
      Service: 'pads',
      Address: settings.AppAddr,
      Capacity: 4,
      State: 'ready',
      Sequence: 1,
      born: 1,
    });
    const heartbeat = { path: '/instances/i-1/heartbeat', id: '', method: 'POST', body };
    assert.equal((await sendHttp(control, heartbeat)).status, 200);
    assert.equal((await sendGet(calls, '/read/'))?.status, 200);
    assert.equal(instance.runs[0]?.callerService, 'pads');

    await writeFile(boot, JSON.stringify({ ...settings, Zone: 'b' }));
    started.process.kill('SIGHUP');
    await waitUntil(async () => started.getOutput().includes('event=settings-reloaded'));
    await writeFile(boot, '{');
    await waitUntil(async () => started.getOutput().includes('event=settings-refused'));
    assert.equal((await sendGet(calls, '/read/'))?.status, 200);

    started.process.kill('SIGTERM');
    await waitUntil(async () => (await sendGet(ready, '/readyz'))?.status === 503);
    assert.equal((await sendGet(calls, '/read/'))?.headers.connection, 'close');
    assert.deepEqual(await started.exited, [0, null]);
    const lines = started.getOutput().trim().split('\n');
    for (const event of ['started', 'config-installed', 'call-ended', 'stopping', 'stopped']) {
      assert.ok(
        lines.some((line) => line.includes(`event=${event} node=sidecar-a-1`)),
        event,
      );
    }
  });
});

test('a process with invalid settings names the field and exits with code 2', async () => {
  await withSetup(async ({ options }) => {
    const settings = buildSettings(options);
    await writeFile(getSettingsPaths(options).boot, JSON.stringify({ ...settings, Zone: 4 }));
    const started = startNodeProcess(options);
    assert.deepEqual(await started.exited, [2, null]);
    assert.match(started.getOutput(), /Zone must be a non-empty string, found 4/);
  });
});

test('a process with an invalid regions file names the key and exits with code 2', async () => {
  await withSetup(async ({ options }) => {
    await writeFile(getSettingsPaths(options).regions, '{ "base": { "waitShar": 1 } }');
    const started = startNodeProcess(options);
    assert.deepEqual(await started.exited, [2, null]);
    assert.match(started.getOutput(), /base\.waitShar is unknown; known: waitShare, spillRank/);
  });
});

async function withProcess(
  options: NodeProcessOptions,
  run: (started: NodeProcess) => Promise<void>,
): Promise<void> {
  const started = startNodeProcess(options);
  try {
    await run(started);
    assert.equal(started.process.exitCode, null, started.getOutput().slice(-600));
  } finally {
    started.process.kill('SIGKILL');
    await started.exited;
  }
}

interface OddRecord {
  readonly name: string;
  /** Change of a good record, or what the list holds in place of the whole object. */
  readonly record?: object;
  readonly replacement?: unknown;
}

const ODD_RECORDS: readonly OddRecord[] = [
  { name: 'odd-port', record: { address: { host: '127.0.0.1', port: 99_999 } } },
  { name: 'odd-host', record: { address: { host: '', port: 9000 } } },
  { name: 'odd-slots', record: { slots: new RawJson('1e308') } },
  { name: 'odd-infinite', record: { slots: new RawJson('1e999') } },
  { name: 'odd-nested', record: { instanceId: formatNested(50_000) } },
  { name: 'odd-object', replacement: formatNested(50_000) },
  { name: 'odd-null', replacement: null },
  { name: 'odd-metadata', replacement: { Metadata: { Name: 7, Revision: 'x' } } },
  { name: 'odd-\ud800', record: {} },
];

function buildRecord(name: string, port: number): object {
  return {
    nodeId: name,
    incarnation: 'p',
    dataCentre: 'a',
    address: { host: '127.0.0.1', port },
    service: 'pads',
    instanceId: `i-${name}`,
    slots: 4,
    state: 'ready',
  };
}

function putOddRecord(store: StoreServer, { name, record, replacement }: OddRecord): void {
  if (record) store.put(NODE_KIND, name, { record: { ...buildRecord(name, 9000), ...record } });
  else store.putReplaced(NODE_KIND, name, replacement);
}

async function announceReady(port: number, appAddress: unknown, sequence: number): Promise<void> {
  const body = JSON.stringify({
    Service: 'pads',
    Address: appAddress,
    Capacity: 4,
    State: 'ready',
    Sequence: sequence,
    born: 1,
  });
  const path = '/instances/i-1/heartbeat';
  assert.equal((await sendHttp(port, { path, id: '', method: 'POST', body })).status, 200);
}

for (const order of ['before', 'after'] as const) {
  test(`odd records ${order} the start of a process leave it serving and following`, async () => {
    await withSetup(async ({ options, store }) => {
      const [calls = 0, , ready = 0, control = 0] = options.ports;
      if (order === 'before') for (const odd of ODD_RECORDS) putOddRecord(store, odd);
      await withProcess(options, async (started) => {
        await waitUntil(async () => (await sendGet(ready, '/readyz'))?.status === 200);
        if (order === 'after') for (const odd of ODD_RECORDS) putOddRecord(store, odd);
        await announceReady(control, buildSettings(options).AppAddr, 1);
        for (let index = 0; index < 40; index += 1) {
          assert.equal((await sendGet(calls, '/read/'))?.status, 200);
        }
        store.put(NODE_KIND, 'good', { record: buildRecord('good', 9001) });
        await waitUntil(async () => /event=node-listed .*peer=good/.test(started.getOutput()));
        store.put(NODE_KIND, options.name, {
          record: { ...buildRecord(options.name, 9000), extra: formatNested(50_000) },
        });
        await waitUntil(async () => {
          const stored = store.get(NODE_KIND, options.name) as { record: { instanceId: string } };
          return stored.record.instanceId === 'i-1';
        });
      });
    });
  });
}

test('a configuration that cannot be used leaves the one before it in force', async () => {
  await withSetup(async ({ options, store }) => {
    const [calls = 0, , ready = 0, control = 0] = options.ports;
    await withProcess(options, async (started) => {
      await waitUntil(async () => (await sendGet(ready, '/readyz'))?.status === 200);
      await announceReady(control, buildSettings(options).AppAddr, 1);
      const odd = buildConfiguration(2, [{ prefix: '/other/' }]) as { Resources: object[] };
      const spec = { IdleTimeout: `${'9'.repeat(400)}s`, HeaderTimeout: '1s' };
      odd.Resources.push({
        EntryKind: 'Limits',
        Metadata: {},
        Spec: { ...spec, MaxHeaderBytes: 9000, MaxBodyBytes: 9000 },
      });
      store.put(CONFIG_KIND, CONFIG_NAME, odd);
      await waitUntil(async () => started.getOutput().includes('event=config-refused'));
      assert.equal((await sendGet(calls, '/read/'))?.status, 200);
      store.put(CONFIG_KIND, CONFIG_NAME, formatNested(50_000));
      store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(3, [{ prefix: '/next/' }]));
      await waitUntil(async () => (await sendGet(calls, '/next/'))?.status === 200);
    });
  });
});

test('odd messages and responses of the instance do not end the process beside it', async () => {
  await withSetup(async ({ options, instance: server }) => {
    const instance = server;
    const [calls = 0, , ready = 0, control = 0] = options.ports;
    await withProcess(options, async () => {
      await waitUntil(async () => (await sendGet(ready, '/readyz'))?.status === 200);
      const appAddress = buildSettings(options).AppAddr;
      await announceReady(control, appAddress, 1);
      const post = (path: string, body: string) =>
        sendHttp(control, { path, id: '', method: 'POST', body });
      const fields = { Service: 'pads', Address: appAddress, State: 'ready', Capacity: 4 };
      const changes = [{ Sequence: 1e308 }, { Sequence: 2, born: 1e300 }, { Capacity: 1e308 }];
      for (const change of changes) {
        const body = JSON.stringify({ ...fields, Sequence: 2, born: 1, ...change });
        assert.equal((await post('/instances/i-1/heartbeat', body)).status, 400);
      }
      assert.equal((await post('/instances/i-1/heartbeat', '['.repeat(60_000))).status, 400);
      assert.equal((await post('/instances/i-1/deregister', '{"born":1e300}')).status, 400);
      await announceReady(control, appAddress, 2);
      instance.fault = {
        kind: 'bytes',
        text:
          'HTTP/1.1 200 OK\r\nX-Lycheelane-Response-Signature: s\r\n' +
          'Note: a\u0001b\r\nContent-Length: 2\r\n\r\nok',
        isLast: true,
      };
      assert.equal((await sendGet(calls, '/read/'))?.status, 502);
      instance.fault = { kind: 'none' };
      assert.equal((await sendGet(calls, '/read/'))?.status, 200);
    });
  });
});

test('a process without the store responds with 503 until the store is available', async () => {
  await withSetup(async ({ options, store }) => {
    const [calls = 0, , ready = 0] = options.ports;
    store.setFault({ kind: 'refuse', status: 503 });
    const started = startNodeProcess(options);
    await waitUntil(async () => (await sendGet(calls, '/read/'))?.status === 503);
    assert.equal((await sendGet(ready, '/readyz'))?.status, 503);
    store.setFault({ kind: 'none' });
    await waitUntil(async () => (await sendGet(ready, '/readyz'))?.status === 200);
    started.process.kill('SIGKILL');
    await started.exited;
  });
});

test('uploads are refused on one connection before there is a configuration', async () => {
  await withSetup(async ({ options, store }) => {
    store.removeObject(CONFIG_KIND, CONFIG_NAME);
    const [calls = 0] = options.ports;
    const started = startNodeProcess(options);
    await waitUntil(async () => (await sendGet(calls, '/read/'))?.status === 503);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const body = 'x'.repeat(100_000);
    const upload = { path: '/read/', id: 'u', method: 'POST', body, agent };
    const headers = { 'Transfer-Encoding': 'chunked' };
    try {
      for (let requests = 0; requests < 3; requests += 1) {
        const { status, headers: received } = await sendHttp(calls, { ...upload, headers });
        assert.equal(status, 503);
        assert.equal(received.connection, 'keep-alive');
      }
    } finally {
      agent.destroy();
      started.process.kill('SIGKILL');
      await started.exited;
    }
  });
});
