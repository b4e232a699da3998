import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';

export const HOST = '127.0.0.1';

/** Writes a settings file that selects free ports; it is removed after the test. */
export async function writeSettings(
  t: TestContext,
  change: Readonly<Record<string, number>> = {},
): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'lycheelane-'));
  t.after(() => rm(folder, { recursive: true }));
  const ports = { callPort: 0, peerPort: 0, announcePort: 0, operatorPort: 0 };
  const identity = { nodeId: 'n1', dataCentre: 'dc', region: 'region', host: HOST };
  const settings = { ...identity, ...ports, ...change, platformUrl: `http://${HOST}:1` };
  const path = join(folder, 'n1.json');
  await writeFile(path, JSON.stringify(settings));
  return path;
}
