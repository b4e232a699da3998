/** Configuration changes of the soak run, applied with the command line. */
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parse } from 'jsonc-parser';
import type { MeshConfig } from '../src/generated/types.js';
import { runCommand, type Mesh } from '../standins/launcher.js';
import { chooseOne } from '../standins/random.js';

/** Results of the changes by exit code of the command. */
export type ChangeCounts = Map<number, number>;

/** Makes one change after the other. */
export interface ConfigChanger {
  readonly counts: ChangeCounts;
  /** Edits the folder and has it accepted; a failure during an outage is counted, not thrown. */
  applyChange(): Promise<void>;
}

const CHANGES = ['timeout', 'swap', 'replace'] as const;

/** Creates the changer for a folder with the Sternwacht example. */
export function createConfigChanger(
  mesh: Mesh,
  folder: string,
  random: () => number,
): ConfigChanger {
  const path = join(folder, 'base.jsonc');
  const counts: ChangeCounts = new Map();
  let number = 0;

  const edit = (config: MeshConfig): void => {
    const { services, routes } = config;
    const calendar = routes['moon-calendar'];
    const { skyguide } = services;
    if (calendar === undefined || skyguide === undefined) throw new Error('unexpected example');
    number += 1;
    calendar.timeoutMs = 5_000 + number;
    const change = chooseOne(CHANGES, random);
    if (change === 'swap') {
      calendar.service = calendar.service === 'skyguide' ? 'padbook' : 'skyguide';
    }
    if (change !== 'replace') return;
    // Service and route come and go together, so a version in force in part leaves a route
    // without its service.
    for (const name of Object.keys(services).filter((one) => one.startsWith('guide-'))) {
      delete services[name];
      delete routes[name];
    }
    const name = `guide-${number}`;
    services[name] = { ...skyguide };
    routes[name] = {
      ...calendar,
      match: { pathPrefix: `/${name}` },
      service: name,
    };
  };

  return {
    counts,
    applyChange: async () => {
      const config = parse(await readFile(path, 'utf8'), [], {
        allowTrailingComma: true,
      }) as MeshConfig;
      edit(config);
      await writeFile(path, JSON.stringify(config, undefined, 2));
      const args = ['config', 'apply', '--dir', folder, '--platform', mesh.platformUrl];
      const { code } = await runCommand(args);
      counts.set(code, (counts.get(code) ?? 0) + 1);
    },
  };
}
