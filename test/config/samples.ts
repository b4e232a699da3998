/** Sample configurations and working directories for tests. */
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import type { TestContext } from 'node:test';
import { acceptBundle } from '../../src/core/config/acceptBundle.js';
import { buildBundle, NO_PARENT } from '../../src/core/config/buildBundle.js';
import { readHead } from '../../src/core/config/readHead.js';
import type { ConfigContent } from '../../src/core/config/renderSite.js';
import type { PlatformClient } from '../../src/types/interfaces.js';

/** Text of a valid base file with comments. */
export const BASE_TEXT = `// Mesh of the tests.
{
  "services": {
    // Runs on every host.
    "padbook": { "slots": 10, "queueLimit": 5 },
    "skyguide": { "slots": 6 }, // second service
  },
  "routes": {
    "book": {
      "match": { "pathPrefix": "/bookings", "methods": ["POST"] },
      "service": "padbook",
      "repeatability": "once",
    },
  },
}
`;

/** Builds a valid configuration; `slots` distinguishes versions. */
export function buildContent(slots = 10): ConfigContent {
  const book = {
    match: { pathPrefix: '/bookings', methods: ['POST'] },
    service: 'padbook',
    repeatability: 'once',
  };
  return {
    base: { services: { padbook: { slots } }, routes: { book } },
    overlays: { 'south-a': {}, 'south-b': { services: { padbook: { queueLimit: 3 } } } },
  };
}

/** Applies one more version, as a concurrent editor would. */
export async function acceptNext(platform: PlatformClient, content: ConfigContent) {
  const head = (await readHead(platform))._unsafeUnwrap();
  const bundle = buildBundle(content, head?.value ?? NO_PARENT);
  const outcome = (await acceptBundle(platform, bundle, head))._unsafeUnwrap();
  return { bundle, outcome };
}

/** Writes files by their paths relative to a directory. */
export async function writeFiles(dir: string, files: Readonly<Record<string, string>>) {
  for (const [name, text] of Object.entries(files)) {
    await mkdir(dirname(join(dir, name)), { recursive: true });
    await writeFile(join(dir, name), text);
  }
}

/** Creates a temporary directory that is removed after the test. */
export async function createDir(context: TestContext, files: Record<string, string> = {}) {
  const dir = await mkdtemp(join(tmpdir(), 'lycheelane-'));
  context.after(() => rm(dir, { recursive: true }));
  await writeFiles(dir, files);
  return dir;
}
