/** The node as a process: settings file, signals, exit codes and log lines. */
import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { InstanceServer } from '../../standins/mesh/instanceServer.js';
import {
  buildConfiguration,
  findPorts,
  sendHttp,
  wait,
  type FleetResponse,
} from '../../standins/mesh/meshFleet.js';
import { StoreServer } from '../../standins/mesh/storeServer.js';

const PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url));
const REGIONS = '{ "base": { "waitShare": 0.5, "spillRank": 9 } /* all regions */ }';

interface Started {
  readonly process: ChildProcess;
  readonly exited: Promise<unknown[]>;
  readonly getOutput: () => string;
}

function startProcess(folder: string): Started {
  const child = spawn(process.execPath, [PROGRAM, join(folder, 'regions.jsonc')], {
    env: { PATH: process.env.PATH, LYCHEELANE_NODE_FILE: join(folder, 'boot.json') },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const chunks: Buffer[] = [];
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => chunks.push(chunk));
  }
  const getOutput = () => Buffer.concat(chunks).toString();
  return { process: child, exited: once(child, 'exit'), getOutput };
}

async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 300; tries += 1) {
    if (await check()) return;
    await wait(30);
  }
  throw new Error('the condition did not come true within 9 s');
}

function ask(port: number, path: string): Promise<FleetResponse | undefined> {
  return sendHttp(port, { path, id: 'q-1' }).catch(() => undefined);
}

interface Setup {
  readonly folder: string;
  readonly store: StoreServer;
  readonly instance: InstanceServer;
  readonly settings: Readonly<Record<string, unknown>>;
  readonly ports: readonly number[];
}

async function withSetup(run: (setup: Setup) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'lycheelane-'));
  const store = new StoreServer();
  const instance = new InstanceServer('i-1');
  const storePort = await store.listen();
  const instancePort = await instance.listen();
  const ports = await findPorts(4);
  const at = (port: number | undefined) => `127.0.0.1:${port}`;
  const settings = {
    NodeName: 'sidecar-a-1',
    Zone: 'a',
    Region: 'r',
    Service: 'pads',
    AppAddr: at(instancePort),
    ListenAddrs: {
      Outbound: at(ports[0]),
      Inbound: at(ports[1]),
      Ready: at(ports[2]),
      Control: at(ports[3]),
    },
    HeartbeatInterval: '870ms',
    PolicyParams: { Grace: '6s', BudgetRatio: 0.2, BudgetWindow: '10s', BudgetExtra: 60 },
    Provider: { Address: at(storePort) },
    UnknownField: true,
  };
  await writeFile(join(folder, 'boot.json'), JSON.stringify(settings));
  await writeFile(join(folder, 'regions.jsonc'), REGIONS);
  store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(1, [{ prefix: '/read/' }]));
  try {
    await run({ folder, store, instance, settings, ports });
  } finally {
    await instance.close();
    await store.close();
    await rm(folder, { recursive: true });
  }
}

test('a process serves, reloads its settings and stops on SIGTERM', async () => {
  await withSetup(async ({ folder, settings, ports, instance }) => {
    const [calls = 0, , ready = 0, control = 0] = ports;
    const started = startProcess(folder);
    await waitUntil(async () => (await ask(ready, '/readyz'))?.status === 200);
    const body = JSON.stringify({
      Service: 'pads',
      Address: settings.AppAddr,
      Capacity: 4,
      State: 'ready',
      Sequence: 1,
      born: 1,
    });
    const beat = { path: '/instances/i-1/heartbeat', id: '', method: 'POST', body };
    assert.equal((await sendHttp(control, beat)).status, 200);
    assert.equal((await ask(calls, '/read/'))?.status, 200);
    assert.equal(instance.runs[0]?.callerService, 'pads');

    await writeFile(join(folder, 'boot.json'), JSON.stringify({ ...settings, Zone: 'b' }));
    started.process.kill('SIGHUP');
    await waitUntil(async () => started.getOutput().includes('event=settings-reloaded'));
    await writeFile(join(folder, 'boot.json'), '{');
    await waitUntil(async () => started.getOutput().includes('event=settings-refused'));
    assert.equal((await ask(calls, '/read/'))?.status, 200);

    started.process.kill('SIGTERM');
    await waitUntil(async () => (await ask(ready, '/readyz'))?.status === 503);
    assert.equal((await ask(calls, '/read/'))?.headers.connection, 'close');
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

test('a process with faulty settings names the field and ends with code 2', async () => {
  await withSetup(async ({ folder, settings }) => {
    await writeFile(join(folder, 'boot.json'), JSON.stringify({ ...settings, Zone: 4 }));
    const started = startProcess(folder);
    assert.deepEqual(await started.exited, [2, null]);
    assert.match(started.getOutput(), /Zone must be a text, found 4/);
  });
});

test('a process with faulty settings of its own names the key and ends with code 2', async () => {
  await withSetup(async ({ folder }) => {
    await writeFile(join(folder, 'regions.jsonc'), '{ "base": { "waitShar": 1 } }');
    const started = startProcess(folder);
    assert.deepEqual(await started.exited, [2, null]);
    assert.match(started.getOutput(), /base\.waitShar is unknown; known: waitShare, spillRank/);
  });
});

test('a process that starts without the store answers 503 and serves on its return', async () => {
  await withSetup(async ({ folder, store, ports }) => {
    const [calls = 0, , ready = 0] = ports;
    store.setFault({ kind: 'refuse', status: 503 });
    const started = startProcess(folder);
    await waitUntil(async () => (await ask(calls, '/read/'))?.status === 503);
    assert.equal((await ask(ready, '/readyz'))?.status, 503);
    store.setFault({ kind: 'none' });
    await waitUntil(async () => (await ask(ready, '/readyz'))?.status === 200);
    started.process.kill('SIGKILL');
    await started.exited;
  });
});
