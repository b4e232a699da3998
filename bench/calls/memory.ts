/** Heap bytes for each remembered request. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { brandText, type RequestId } from '../../src/types/ids.js';
import {
  createDeduplicationStore,
  type StoredOutcome,
} from '../../src/core/upstream/deduplicationStore.js';
import { waitMs } from '../../src/utils/backoff.js';
import { createRandom } from '../../standins/random.js';
import { toRounded, type BenchTable } from './report.js';

/** Default of the setting `calls.rememberedRequests`. */
const MAX_KEYS = 50_000;
const REMEMBER_MS = 900_000;
const COLLECTIONS = 3;
const SWEEP_MS = 200;

function loadCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

/** Returns a text of its own storage, as a parsed header is. */
function buildText(random: () => number, length: number): string {
  const bytes = Buffer.alloc(length, 0);
  for (let index = 0; index < length; index += 1) bytes[index] = 97 + Math.floor(random() * 26);
  return bytes.toString('latin1');
}

function buildOutcome(bodyBytes: number): StoredOutcome {
  if (bodyBytes === 0) return { kind: 'handedOver', detail: 'the answer was not kept' };
  const headers = { 'content-type': 'application/json', 'content-length': String(bodyBytes) };
  return { kind: 'answer', status: 200, headers, body: Buffer.alloc(bodyBytes, 1) };
}

async function measureUsed(collect: () => void): Promise<number> {
  // The memory of collected buffers is given back in the background, after the collection.
  for (let pass = 0; pass < COLLECTIONS; pass += 1) {
    collect();
    await waitMs(SWEEP_MS);
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

async function measureEntries(collect: () => void, bodyBytes: number, seed: number) {
  const random = createRandom(seed);
  const before = await measureUsed(collect);
  const memory = createDeduplicationStore({ maxKeys: MAX_KEYS, retentionMs: REMEMBER_MS });
  for (let index = 0; index < MAX_KEYS; index += 1) {
    const requestId = brandText<RequestId>(buildText(random, 36));
    const fingerprint = buildText(random, 22);
    const key = { requestId, timeMs: Date.now(), fingerprint };
    memory.add(key)?.settle(buildOutcome(bodyBytes));
  }
  const used = (await measureUsed(collect)) - before;
  const requestId = brandText<RequestId>('one more');
  const key = { requestId, timeMs: Date.now(), fingerprint: '' };
  const isRefused = memory.add(key) === undefined;
  return {
    'answer body bytes': bodyBytes,
    entries: memory.count(),
    'bytes per entry': Math.round(used / memory.count()),
    'MiB in all': toRounded(used / 2 ** 20),
    'one more is': isRefused ? 'refused' : 'taken',
  };
}

/** Fills request memories up to the default bound; the heap is compared after a collection. */
export async function measureMemory(seed: number): Promise<BenchTable> {
  const collect = loadCollector();
  const rows: BenchTable['rows'][number][] = [];
  for (const bodyBytes of [0, 200, 2000, 32_000]) {
    rows.push(await measureEntries(collect, bodyBytes, seed));
  }
  const notes = [
    `Bound: ${MAX_KEYS} entries (\`calls.rememberedRequests\`) and 8 MiB of stored answers.`,
  ];
  return { title: 'Request memory', rows, notes };
}
