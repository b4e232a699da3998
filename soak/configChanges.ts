/** Configuration changes of the soak, applied with the command-line program. */
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parse } from 'jsonc-parser';
import type { MeshConfig } from '../src/generated/types.js';
import { runCommand, type Mesh } from '../standins/launcher.js';
import { chooseOne } from '../standins/random.js';

/** Number of changes by exit code of the command. */
export type ChangeCounts = Map<number, number>;

/** Applies one configuration change at a time. */
export interface ConfigChanger {
  readonly countsByExitCode: ChangeCounts;
  /** Edits the folder and applies it; a failed command, as in an outage, is counted, not thrown. */
  applyChange(): Promise<void>;
}

const BASE_TIMEOUT_MS = 5_000;
const CHANGE_KINDS = ['timeout', 'swap', 'replace'] as const;

/** Creates the changer for a folder that contains the Sternwacht example. */
export function createConfigChanger(
  mesh: Mesh,
  folder: string,
  random: () => number,
): ConfigChanger {
  const path = join(folder, 'base.jsonc');
  const countsByExitCode: ChangeCounts = new Map();
  let changeNumber = 0;

  const editConfig = (config: MeshConfig): void => {
    const { services, routes } = config;
    const calendar = routes['moon-calendar'];
    const { skyguide } = services;
    if (calendar === undefined || skyguide === undefined) throw new Error('unexpected example');
    changeNumber += 1;
    calendar.timeoutMs = BASE_TIMEOUT_MS + changeNumber;
    const kind = chooseOne(CHANGE_KINDS, random);
    if (kind === 'swap') {
      calendar.service = calendar.service === 'skyguide' ? 'padbook' : 'skyguide';
    }
    if (kind !== 'replace') return;
    // A version adds and removes a service and its route together, so a partially applied version
    // leaves a dangling route.
    for (const name of Object.keys(services).filter((one) => one.startsWith('guide-'))) {
      delete services[name];
      delete routes[name];
    }
    const name = `guide-${changeNumber}`;
    services[name] = { ...skyguide };
    routes[name] = {
      ...calendar,
      match: { pathPrefix: `/${name}` },
      service: name,
    };
  };

  return {
    countsByExitCode,
    applyChange: async () => {
      const config = parse(await readFile(path, 'utf8'), [], {
        allowTrailingComma: true,
      }) as MeshConfig;
      editConfig(config);
      await writeFile(path, JSON.stringify(config, undefined, 2));
      const args = ['config', 'apply', '--dir', folder, '--platform', mesh.platformUrl];
      const { code } = await runCommand(args);
      countsByExitCode.set(code, (countsByExitCode.get(code) ?? 0) + 1);
    },
  };
}
