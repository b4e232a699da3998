/** The example deployments at their sizes of today. */
import { readdir, readFile } from 'node:fs/promises';
import { parse } from 'jsonc-parser';
import type { ConfigContent } from '../src/core/config/renderSite.js';
import { STERNWACHT } from '../standins/sternwacht.js';
import type { Topology } from '../standins/launcher/topology.js';

/** Three data centres of Kulissi Script Hire: 9 instances of catalogue and 3 of orders. */
const KULISSI: Topology = {
  oneWayMs: 1,
  dataCentres: ['a', 'b', 'c'].map((letter) => ({
    name: `fi-south-${letter}`,
    region: 'fi-south',
    services: [
      { service: 'catalogue', instances: 3, slots: 6 },
      { service: 'orders', instances: 1, slots: 6 },
    ],
  })),
};

/** Topologies by the folder name of the example. */
export const EXAMPLES: Readonly<Record<string, Topology>> = {
  sternwacht: STERNWACHT,
  kulissi: KULISSI,
};

async function readJsonc(path: URL): Promise<never> {
  return parse(await readFile(path, 'utf8'), [], { allowTrailingComma: true }) as never;
}

/** Reads the configuration of an example from `examples/`, as found from `dist/bench/`. */
export async function readExample(name: string): Promise<ConfigContent> {
  const folder = new URL(`../../examples/${name}/`, import.meta.url);
  const overlays: Record<string, never> = {};
  for (const file of await readdir(new URL('overlays/', folder))) {
    const site = file.replace(/\.jsonc$/, '');
    overlays[site] = await readJsonc(new URL(`overlays/${file}`, folder));
  }
  return { base: await readJsonc(new URL('base.jsonc', folder)), overlays };
}
