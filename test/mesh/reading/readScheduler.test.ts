/** Guards against connections that are never read again, and against those that hold up others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReadScheduler, type ReadSource } from '../../../src/mesh/reading/readScheduler.js';
import { RecentWork } from '../../../src/mesh/reading/recentWork.js';
import { wait } from '../../../standins/mesh/meshFleet.js';

/** Work of a slice of an expensive source: more than the budget of a turn, in milliseconds. */
const EXPENSIVE_MS = 8;

/** Work from which a source is heavy for the rest of a test, in milliseconds. */
const HEAVY_MS = 10_000;

interface FakeSource extends ReadSource {
  slicesLeft: number;
}

function buildSource(name: string, slices: number, workMs: number, reads: string[]): FakeSource {
  return {
    work: new RecentWork(),
    slicesLeft: slices,
    readSlice() {
      reads.push(name);
      const endAtMs = performance.now() + workMs;
      while (performance.now() < endAtMs);
      this.slicesLeft -= 1;
      return this.slicesLeft > 0;
    },
  };
}

async function waitUntilRead(sources: readonly FakeSource[]): Promise<void> {
  for (let turns = 0; turns < 200; turns += 1) {
    if (sources.every(({ slicesLeft }) => slicesLeft === 0)) return;
    await wait(10);
  }
}

test('every source is read to its end, whichever of them ends first', async () => {
  const reads: string[] = [];
  const scheduler = new ReadScheduler();
  const sources = Array.from({ length: 12 }, (_, index) =>
    buildSource(`s-${index}`, 1 + (index % 3), EXPENSIVE_MS, reads),
  );
  for (const source of sources) scheduler.schedule(source);
  await waitUntilRead(sources);
  assert.deepEqual(
    sources.map(({ slicesLeft }) => slicesLeft),
    sources.map(() => 0),
  );
  assert.ok(sources.every((source) => !scheduler.isWaiting(source)));
});

test('a source is read at once while little work was done', () => {
  const reads: string[] = [];
  const scheduler = new ReadScheduler();
  const source = buildSource('s', 3, 0, reads);
  scheduler.schedule(source);
  assert.equal(source.slicesLeft, 0);
});

test('a heavy source waits, and one that came later is read before it', async () => {
  const reads: string[] = [];
  const scheduler = new ReadScheduler();
  const heavy = buildSource('heavy', 5, 1, reads);
  heavy.work.add(HEAVY_MS, performance.now());
  scheduler.schedule(heavy);
  assert.deepEqual(reads, []);
  const light = buildSource('light', 1, 0, reads);
  scheduler.schedule(light);
  assert.deepEqual(reads, ['light']);
  await waitUntilRead([heavy]);
  assert.equal(heavy.slicesLeft, 0);
});

test('heavy sources are read in turn, with a slice of one in each turn of the loop', async () => {
  const reads: string[] = [];
  const scheduler = new ReadScheduler();
  const sources = ['a', 'b', 'c'].map((name) => buildSource(name, 3, EXPENSIVE_MS, reads));
  for (const source of sources) source.work.add(HEAVY_MS, performance.now());
  for (const source of sources) scheduler.schedule(source);
  await waitUntilRead(sources);
  assert.deepEqual(reads, ['a', 'b', 'c', 'a', 'b', 'c', 'a', 'b', 'c']);
});

test('a source that was removed is not read any more', async () => {
  const reads: string[] = [];
  const scheduler = new ReadScheduler();
  const heavy = buildSource('heavy', 5, 0, reads);
  heavy.work.add(HEAVY_MS, performance.now());
  scheduler.schedule(heavy);
  scheduler.remove(heavy);
  await wait(20);
  assert.deepEqual(reads, []);
});
