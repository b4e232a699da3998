/** Starts a node as a separate process with the platform's settings file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const PROGRAM_PATH = fileURLToPath(new URL('../../platform/main.js', import.meta.url));

/** Index of the call port in `NodeProcessOptions.ports`. */
export const CALL_PORT_INDEX = 0;

/** Index of the announcement port in `NodeProcessOptions.ports`. */
export const ANNOUNCEMENT_PORT_INDEX = 3;

const DEPLOY_FILE_PATH = fileURLToPath(new URL('../../../deploy/system.toml', import.meta.url));

const REGIONS = '{ "base": { "waitShare": 0.5, "spillRank": 9 } /* all regions */ }';

/** Options from which the settings of a node are built; all addresses are on one host. */
export interface NodeProcessOptions {
  readonly folder: string;
  readonly name: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly instancePort: number;
  readonly storePort: number;
  /** Ports for calls, peers, readiness and announcements. */
  readonly ports: readonly number[];
  /** Limits of the host, by their names in the settings file; undefined for none. */
  readonly limits?: Readonly<Record<string, number>>;
}

/** A started node process. */
export interface NodeProcess {
  readonly process: ChildProcess;
  /** Resolves to the exit code and the signal. */
  readonly exited: Promise<unknown[]>;
  /** Returns the combined stdout and stderr output. */
  getOutput(): string;
}

/** Builds the settings of a node in the platform's format. */
export function buildSettings(options: NodeProcessOptions): Record<string, unknown> {
  const [calls, peers, ready, announcements] = options.ports;
  const formatAddress = (port: number | undefined) => `127.0.0.1:${port}`;
  return {
    NodeName: options.name,
    Zone: options.dataCentre,
    Region: 'r',
    Service: options.service,
    AppAddr: formatAddress(options.instancePort),
    ListenAddrs: {
      Outbound: formatAddress(calls),
      Inbound: formatAddress(peers),
      Ready: formatAddress(ready),
      Control: formatAddress(announcements),
    },
    HeartbeatInterval: '870ms',
    PolicyParams: { Grace: '6s', BudgetRatio: 0.2, BudgetWindow: '10s', BudgetExtra: 60 },
    Provider: { Address: formatAddress(options.storePort) },
    ...(options.limits ? { Limits: options.limits } : {}),
    UnknownField: true,
  };
}

/** Returns the paths of the settings files of a node. */
export function getSettingsPaths({ folder, name }: Pick<NodeProcessOptions, 'folder' | 'name'>) {
  return { boot: join(folder, `${name}.json`), regions: join(folder, `${name}.jsonc`) };
}

/** Writes the settings files of a node. */
export async function writeSettings(options: NodeProcessOptions): Promise<void> {
  const { boot, regions } = getSettingsPaths(options);
  await writeFile(boot, JSON.stringify(buildSettings(options)));
  await writeFile(regions, REGIONS);
}

/** Returns the flags of the runtime with which the deploy file starts a node. */
export async function readDeployFlags(): Promise<readonly string[]> {
  const text = await readFile(DEPLOY_FILE_PATH, 'utf8');
  const [, command = ''] = /^run = "node ([^"]+)"/m.exec(text) ?? [];
  return command.split(' ').filter((word) => word.startsWith('--'));
}

/** Starts a node; its settings files must exist. */
export function startNodeProcess(
  options: Pick<NodeProcessOptions, 'folder' | 'name'>,
  flags: readonly string[] = [],
): NodeProcess {
  const { boot, regions } = getSettingsPaths(options);
  const child = spawn(process.execPath, [...flags, PROGRAM_PATH, regions], {
    env: { PATH: process.env.PATH, LYCHEELANE_NODE_FILE: boot },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const chunks: Buffer[] = [];
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => chunks.push(chunk));
  }
  return {
    process: child,
    exited: once(child, 'exit'),
    getOutput: () => Buffer.concat(chunks).toString(),
  };
}
